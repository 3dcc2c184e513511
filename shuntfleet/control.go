package shuntfleet

import (
	"fmt"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntguard"
	"mulberryshunt.example/mulberryshunt/shuntowner"
	"mulberryshunt.example/mulberryshunt/shuntrandom"
)

// ControlConfig configures a Control.
type ControlConfig struct {
	VM    string
	Start string
	Cell  string
	// Idle reports whether no request to a server is in flight. It is called
	// after the lease on the server was removed from the published view, so
	// that no new request can start.
	Idle func(server string) bool
	// OnHandover is called with a server and the VM that the server is handed
	// over to, right before this VM releases the server. It may be nil.
	OnHandover func(server, vm string)
	// Guard provides and receives the suspicions that are exchanged with the
	// heartbeats. It may be nil.
	Guard *shuntguard.Guard
	// Load returns the number of queries that the VM is processing. It may be
	// nil.
	Load func() int
	// OnView is called with each new view, before any message that depends on
	// the view is created. It may be nil.
	OnView func(*View)
	// Random is the source of random choices. If it is nil, a randomly seeded
	// source is used.
	Random *shuntrandom.Source
}

const (
	maxSuspicionsSent  = 32
	maxWants           = 1 << 16
	suspicionsInterval = time.Second
)

// Control is the state of one VM in the fleet. It is not safe for concurrent
// use.
type Control struct {
	config    ControlConfig
	tree      *shuntconfig.Tree
	placement *Placement
	members   map[string]*member
	voter     *Voter
	claims    map[string]*claim
	// lastOwners maps each server to the VM that was last known as its owner.
	lastOwners map[string]string
	leaving    bool
	synced     bool
	// listedLeaving holds the VMs that the platform lists as leaving. The
	// platform's list lags behind.
	listedLeaving map[string]bool
	sequence      uint64

	wantedResources []Resource
	wantedServers   []string
	wantsVersion    uint64

	started              time.Time
	lastPlatformResponse time.Time
	nextCellBeat         time.Time
	nextRemoteBeat       time.Time
	view                 *View
}

// NewControl returns the Control of a VM that has just started.
func NewControl(c ControlConfig, now time.Time) *Control {
	if c.Random == nil {
		c.Random = shuntrandom.New(0)
	}
	t := &Control{
		config:     c,
		tree:       shuntconfig.NewTree(),
		members:    map[string]*member{},
		voter:      NewVoter(now),
		claims:     map[string]*claim{},
		started:    now,
		lastOwners: map[string]string{},
	}
	t.placement = NewPlacement(t.tree)
	t.view = t.newView(now)
	return t
}

// Tree returns the configuration in force.
func (c *Control) Tree() *shuntconfig.Tree { return c.tree }

// View returns the most recently published view.
func (c *Control) View() *View { return c.view }

// RecordPlatformResponse records that the platform answered at time now.
func (c *Control) RecordPlatformResponse(now time.Time) { c.lastPlatformResponse = now }

// MarkSynced records that the VM has the configuration that the platform or its
// peers hold, and may serve.
func (c *Control) MarkSynced() { c.synced = true }

// SendSuspicions makes heartbeats due immediately and includes the guard's
// suspicions in them.
func (c *Control) SendSuspicions(now time.Time) {
	for _, m := range c.members {
		m.lastSentSuspicions = time.Time{}
	}
	c.nextCellBeat = now
	c.nextRemoteBeat = now
}

// Leave marks this VM as leaving, which its heartbeats then announce.
func (c *Control) Leave() { c.leaving = true }

// Apply puts documents into force that are newer than the current ones, and
// reports whether there were any.
func (c *Control) Apply(now time.Time, docs ...shuntconfig.Document) bool {
	t := c.tree.With(docs...)
	if t == c.tree {
		return false
	}
	before, old := c.tree, c.placement
	c.tree = t
	c.placement = NewPlacement(t)
	c.updateMembers()
	c.freezeAfterChange(old, now)
	for k, r := range t.Refusals() {
		if before.Refusals()[k] != r {
			klog.InfoS("Document refused; keeping the last valid version", "key", k, "version", r.Version, "reason", r.Err.Error())
		}
	}
	klog.InfoS("Configuration applied", "digest", fmt.Sprintf("%016x", t.Digest()), "fleetVersion", t.Fleet().Version)
	c.publish(now)
	return true
}

// freezeAfterChange stops promises to new holders if the old and the new voters
// of the cell could each have a majority without a common voter. It does the
// same for single servers that have moved here from another cell, which has
// other voters.
func (c *Control) freezeAfterChange(old *Placement, now time.Time) {
	before, after := vmNames(old.Voters(c.config.Cell)), vmNames(c.placement.Voters(c.config.Cell))
	if mayHaveDisjointMajorities(before, after) {
		klog.InfoS("Old and new VMs of the cell could form separate majorities; granting no new leases for a while", "cell", c.config.Cell, "wait", freezeTime)
		c.voter.Freeze(now)
	}
	for _, id := range c.placement.Servers(c.config.Cell) {
		if from := old.Cell(id); from != "" && from != c.config.Cell {
			c.voter.FreezeResource(ResourceOf(id), now)
		}
	}
}

func vmNames(vms []shuntconfig.VM) []string {
	out := make([]string, len(vms))
	for i, v := range vms {
		out[i] = v.Name
	}
	return out
}

func (c *Control) status() Status {
	s := Status{
		VM:           c.config.VM,
		Start:        c.config.Start,
		Leaving:      c.leaving || !c.inService(),
		Ready:        c.ready(),
		FleetVersion: c.tree.Fleet().Version,
		Digest:       c.tree.Digest(),
	}
	if c.config.Load != nil {
		s.Load = c.config.Load()
	}
	return s
}

func (c *Control) ready() bool {
	return c.synced && c.tree.Fleet().Version > 0
}

func (c *Control) inService() bool {
	return c.tree.Fleet().VMInService(c.config.VM)
}

// HeartbeatDue reports whether a heartbeat is due, so that Tick should be
// called before the next regular tick.
func (c *Control) HeartbeatDue(now time.Time) bool {
	return !now.Before(c.nextCellBeat) || !now.Before(c.nextRemoteBeat)
}

// Tick updates the claims, the leases and the view, and returns the heartbeats
// that are due.
func (c *Control) Tick(now time.Time) []OutgoingBeat {
	c.voter.RemoveExpired(now)
	c.planOwnership(now)
	c.publish(now)
	c.releaseIdle(now)
	var out []OutgoingBeat
	if !now.Before(c.nextCellBeat) {
		out = c.cellHeartbeats(now)
		c.nextCellBeat = now.Add(HeartbeatInterval)
		if c.lacksLease(now) {
			c.nextCellBeat = now.Add(urgentHeartbeatInterval)
		}
		c.publish(now)
	}
	if !now.Before(c.nextRemoteBeat) {
		c.nextRemoteBeat = now.Add(remoteHeartbeatInterval)
		out = append(out, c.remoteHeartbeat(now)...)
	}
	return out
}

// publish creates a new view and makes it the current one.
func (c *Control) publish(now time.Time) {
	c.view = c.newView(now)
	if c.config.OnView != nil {
		c.config.OnView(c.view)
	}
}

func (c *Control) newView(now time.Time) *View {
	v := &View{
		Tree:         c.tree,
		Placement:    c.placement,
		Self:         c.status(),
		Isolated:     c.isolated(now),
		InService:    c.inService(),
		leases:       map[string]shuntowner.LeaseState{},
		notLive:      map[string]bool{},
		majorityLive: c.hasLiveMajority(now),
		voters:       len(c.placement.Voters(c.config.Cell)),
	}
	for _, id := range c.placement.Servers(c.config.Cell) {
		v.leases[id] = c.leaseState(id, v.voters, now)
	}
	for n, m := range c.members {
		s := m.status
		s.Leaving = s.Leaving || c.listedLeaving[n]
		v.Peers = append(v.Peers, Peer{Name: n, Zone: m.vm.Zone, Status: s, LastHeard: m.lastHeard, Live: m.live(now)})
		if m.vm.Cell == c.config.Cell && !m.live(now) && now.Sub(c.started) > deadAfter {
			// Before deadAfter has passed since the start, silence does not
			// mean that a VM is down: its first heartbeat may be on its way.
			v.notLive[n] = true
			// Adding the hashes makes the sum independent of the iteration
			// order of the map.
			v.notLiveHash += uint64(ResourceOf(n))
		}
	}
	slices.SortFunc(v.Peers, func(a, b Peer) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return v
}
