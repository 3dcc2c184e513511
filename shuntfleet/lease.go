package shuntfleet

import (
	"time"
)

const (
	// promiseTime is how long a voter keeps a grant. leaseTime is how long the
	// holder uses it, counted from before it asked: shorter, so that clocks may
	// run at slightly different rates.
	promiseTime = 2 * time.Second
	leaseTime   = 1900 * time.Millisecond
	// silenceAfterStart is how long a new process does not vote: the process
	// before it in its place may have made promises that it can't know of.
	silenceAfterStart = promiseTime + 200*time.Millisecond
	// inForceTime is how long a published change may take to every VM.
	inForceTime = 10 * time.Second
	// settleTime is how long a voter makes no new promise for servers that
	// another set of voters may still have leased out under the configuration
	// before.
	settleTime = inForceTime + promiseTime
)

// Claimant is a VM in one life of its process.
type Claimant struct {
	VM    string
	Start string
}

// The zero Resource stands for no server and is never granted.

// promise is a voter's word that it grants a resource to nobody else.
type promise struct {
	to    Claimant
	until time.Time
}

// Voter keeps the promises of one VM.
type Voter struct {
	// quiet is when the voter may make its first promise.
	quiet    time.Time
	promises map[Resource]promise
	// sequences holds the newest message number seen of each claimant.
	sequences map[Claimant]uint64
	// frozen is when promises to new holders may be made again, after the
	// list of VMs changed; frozenOne is the same for single resources.
	frozen    time.Time
	frozenOne map[Resource]time.Time
}

// NewVoter returns a Voter that has just started.
func NewVoter(now time.Time) *Voter {
	return &Voter{
		quiet:     now.Add(silenceAfterStart),
		promises:  map[Resource]promise{},
		sequences: map[Claimant]uint64{},
		frozenOne: map[Resource]time.Time{},
	}
}

// Freeze stops promises to new holders for the settle time. Holders that have
// a promise may renew it.
func (v *Voter) Freeze(now time.Time) {
	v.frozen = now.Add(settleTime)
}

// FreezeResource does the same for one resource.
func (v *Voter) FreezeResource(r Resource, now time.Time) {
	v.frozenOne[r] = now.Add(settleTime)
}

func (v *Voter) isFrozen(r Resource, now time.Time) bool {
	return now.Before(v.frozen) || now.Before(v.frozenOne[r])
}

// Grant answers a claimant that wants exactly the resources in wants. It
// returns one holder for each: the claimant itself when granted, else the VM
// that has the promise, or "" when there is none. A promise to the claimant
// that is not in wants ends: the claimant has given the resource up before it
// asked. Messages that arrive out of order get nothing.
func (v *Voter) Grant(c Claimant, sequence uint64, wants []Resource, now time.Time) []string {
	out := make([]string, len(wants))
	if sequence <= v.sequences[c] {
		return out
	}
	v.sequences[c] = sequence
	v.giveUp(c, wants)
	for i, r := range wants {
		out[i] = v.grant(c, r, now)
	}
	return out
}

func (v *Voter) grant(c Claimant, r Resource, now time.Time) string {
	if r == 0 || now.Before(v.quiet) {
		return ""
	}
	p, ok := v.promises[r]
	live := ok && now.Before(p.until)
	if live && p.to.VM == c.VM && p.to != c {
		// The promise is to the process before this one, whose requests may
		// still run. The name alone would read as a grant.
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

func (v *Voter) giveUp(c Claimant, wants []Resource) {
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

// Holder returns who has the voter's promise for r now, or "".
func (v *Voter) Holder(r Resource, now time.Time) string {
	p, ok := v.promises[r]
	if !ok || !now.Before(p.until) {
		return ""
	}
	return p.to.VM
}

// RemoveExpired drops promises that ended long ago, and claimants without any.
func (v *Voter) RemoveExpired(now time.Time) {
	alive := map[Claimant]bool{}
	for r, p := range v.promises {
		if now.Sub(p.until) > promiseTime {
			delete(v.promises, r)
			continue
		}
		alive[p.to] = true
	}
	for r, t := range v.frozenOne {
		if !now.Before(t) {
			delete(v.frozenOne, r)
		}
	}
	for c := range v.sequences {
		if !alive[c] && len(v.sequences) > len(alive)+sequencesKept {
			delete(v.sequences, c)
		}
	}
}

// sequencesKept is how many claimants without promises a voter remembers.
const sequencesKept = 256

// mustSettle says whether two lists of voters could each have a majority
// without a voter in common.
func mustSettle(before, after []string) bool {
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

// grants collects, for one resource, until when each voter's grant is good for
// the holder.
type grants map[string]time.Time

// until returns the end of the lease: the time up to which a majority of the
// voters has granted. It is zero without a majority.
func (g grants) until(voters []string) time.Time {
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
	// Cells are small; insertion is enough.
	for i := 1; i < len(ts); i++ {
		for j := i; j > 0 && ts[j].After(ts[j-1]); j-- {
			ts[j], ts[j-1] = ts[j-1], ts[j]
		}
	}
}
