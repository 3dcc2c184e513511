package shuntfleet

import (
	"time"
)

const (
	// promiseTime is how long a voter keeps a promise. leaseTime is how long
	// the holder uses the lease, counted from before it sent the request. It is
	// shorter, so that the clocks of the two VMs may run at slightly different
	// rates.
	promiseTime = 2 * time.Second
	leaseTime   = 1900 * time.Millisecond
	// startupQuietTime is how long a new process makes no promises: an earlier
	// process of the same VM may have made promises that the new one does not
	// know of.
	startupQuietTime = promiseTime + 200*time.Millisecond
	// maxPropagationTime is how long a published change may take to reach every
	// VM.
	maxPropagationTime = 10 * time.Second
	// freezeTime is how long a voter makes no new promises for servers that
	// another set of voters may still have leased out under the previous
	// configuration.
	freezeTime = maxPropagationTime + promiseTime
)

// Claimant identifies one process of a VM that requests leases.
type Claimant struct {
	VM    string
	Start string
}

// The zero Resource does not identify any server and is never granted.

// promise is a voter's commitment not to grant a resource to another claimant
// before the given time.
type promise struct {
	to    Claimant
	until time.Time
}

// Voter makes and tracks the promises of one VM.
type Voter struct {
	// quietUntil is when the voter may make its first promise.
	quietUntil time.Time
	promises   map[Resource]promise
	// sequences holds the highest sequence number received from each claimant.
	lastSequences map[Claimant]uint64
	// frozenUntil is when promises to new holders may be made again after the
	// list of VMs has changed. resourceFrozenUntil is the same for single
	// resources.
	frozenUntil         time.Time
	resourceFrozenUntil map[Resource]time.Time
}

// NewVoter returns the Voter of a process that has just started.
func NewVoter(now time.Time) *Voter {
	return &Voter{
		quietUntil:          now.Add(startupQuietTime),
		promises:            map[Resource]promise{},
		lastSequences:       map[Claimant]uint64{},
		resourceFrozenUntil: map[Resource]time.Time{},
	}
}

// Freeze stops promises to new holders for freezeTime. Current holders may
// renew their promises.
func (v *Voter) Freeze(now time.Time) {
	v.frozenUntil = now.Add(freezeTime)
}

// FreezeResource stops promises to new holders of one resource for freezeTime.
func (v *Voter) FreezeResource(r Resource, now time.Time) {
	v.resourceFrozenUntil[r] = now.Add(freezeTime)
}

func (v *Voter) isFrozen(r Resource, now time.Time) bool {
	return now.Before(v.frozenUntil) || now.Before(v.resourceFrozenUntil[r])
}

// Grant processes a request of a claimant for exactly the resources in wants.
// It returns one holder for each of them: the claimant's own VM if the resource
// is granted, otherwise the VM that has the promise, or "" if there is none. A
// promise to the claimant for a resource that is not in wants ends, since
// claimants release a resource before they stop requesting it. A request that
// arrives after a later one of the same claimant is granted nothing.
func (v *Voter) Grant(c Claimant, sequence uint64, wants []Resource, now time.Time) []string {
	out := make([]string, len(wants))
	if sequence <= v.lastSequences[c] {
		return out
	}
	v.lastSequences[c] = sequence
	v.releaseUnwanted(c, wants)
	for i, r := range wants {
		out[i] = v.grant(c, r, now)
	}
	return out
}

func (v *Voter) grant(c Claimant, r Resource, now time.Time) string {
	if r == 0 || now.Before(v.quietUntil) {
		return ""
	}
	p, ok := v.promises[r]
	live := ok && now.Before(p.until)
	if live && p.to.VM == c.VM && p.to != c {
		// The promise was made to another process of the same VM, whose
		// requests may still be running. Returning the VM's name would look
		// like a grant.
		return ""
	}
	if live && p.to != c {
		return p.to.VM
	}
	if !live && v.isFrozen(r, now) {
		return ""
	}
	v.promises[r] = promise{to: c, until: now.Add(promiseTime)}
	return c.VM
}

func (v *Voter) releaseUnwanted(c Claimant, wants []Resource) {
	wanted := make(map[Resource]bool, len(wants))
	for _, r := range wants {
		wanted[r] = true
	}
	for r, p := range v.promises {
		if p.to == c && !wanted[r] {
			delete(v.promises, r)
		}
	}
}

// Holder returns the VM that has the voter's promise for r at time now, or ""
// if there is none.
func (v *Voter) Holder(r Resource, now time.Time) string {
	p, ok := v.promises[r]
	if !ok || !now.Before(p.until) {
		return ""
	}
	return p.to.VM
}

// RemoveExpired removes promises that expired more than promiseTime ago,
// freezes that are over, and the sequence numbers of claimants without promises
// if there are too many.
func (v *Voter) RemoveExpired(now time.Time) {
	active := map[Claimant]bool{}
	for r, p := range v.promises {
		if now.Sub(p.until) > promiseTime {
			delete(v.promises, r)
			continue
		}
		active[p.to] = true
	}
	for r, t := range v.resourceFrozenUntil {
		if !now.Before(t) {
			delete(v.resourceFrozenUntil, r)
		}
	}
	for c := range v.lastSequences {
		if !active[c] && len(v.lastSequences) > len(active)+maxIdleSequences {
			delete(v.lastSequences, c)
		}
	}
}

// maxIdleSequences is the number of claimants without promises whose sequence
// numbers a voter keeps.
const maxIdleSequences = 256

// mayHaveDisjointMajorities reports whether two lists of voters could each have
// a majority without a common voter.
func mayHaveDisjointMajorities(before, after []string) bool {
	if len(before) == 0 {
		return false
	}
	union := map[string]bool{}
	for _, n := range before {
		union[n] = true
	}
	for _, n := range after {
		union[n] = true
	}
	return len(before)/2+1+len(after)/2+1 <= len(union)
}

// grants holds, for one resource, when the grant of each voter to this VM
// expires.
type grants map[string]time.Time

// leaseEnd returns the end of the lease, which is the time up to which a
// majority of the voters has granted it. It returns the zero time if there is
// no majority.
func (g grants) leaseEnd(voters []string) time.Time {
	need := len(voters)/2 + 1
	ends := make([]time.Time, 0, len(voters))
	for _, v := range voters {
		if t, ok := g[v]; ok {
			ends = append(ends, t)
		}
	}
	if len(ends) < need || len(voters) == 0 {
		return time.Time{}
	}
	sortDescending(ends)
	return ends[need-1]
}

func sortDescending(ts []time.Time) {
	// Insertion sort is fast enough because cells are small.
	for i := 1; i < len(ts); i++ {
		for j := i; j > 0 && ts[j].After(ts[j-1]); j-- {
			ts[j], ts[j-1] = ts[j-1], ts[j]
		}
	}
}
