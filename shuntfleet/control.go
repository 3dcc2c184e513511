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

// ControlConfig is what a Control is made of.
type ControlConfig struct {
	VM    string
	Start string
	Cell  string
	// Idle says whether no request is in flight at a server. It is asked
	// after the lease on the server was taken out of the published view.
	Idle func(server string) bool
	// OnHandover is called with a server that this VM gives to another one,
	// right before it gives it up; nil is allowed.
	OnHandover func(server, vm string)
	// Guard spreads its suspicions with the heartbeats; nil is allowed.
	Guard *shuntguard.Guard
	// Load returns the number of queries that the VM works on; nil is allowed.
	Load func() int
	// OnView is called with each new view, before any message that depends
	// on it is made.
	OnView func(*View)
	// Random is the source of choices; nil takes a random seed.
	Random *shuntrandom.Source
}

const (
	maxSuspicionsSent  = 32
	maxWants           = 1 << 16
	suspicionsInterval = time.Second
)

// Control is the state of one VM's part in the fleet. One goroutine uses it.
type Control struct {
	config    ControlConfig
	tree      *shuntconfig.Tree
	placement *Placement
	members   map[string]*member
	voter     *Voter
	held      map[string]*holding
	// lastOwners names the VM last known as the owner of each server.
	lastOwners map[string]string
	leaving    bool
	synced     bool
	// listedLeaving are the VMs that the platform's list, which lags, says
	// are leaving.
	listedLeaving map[string]bool
	sequence      uint64

	wants        []Resource
	wantNames    []string
	wantsVersion uint64

	began         time.Time
	platformHeard time.Time
	nextBeat      time.Time
	nextFar       time.Time
	view          *View
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
		held:       map[string]*holding{},
		began:      now,
		lastOwners: map[string]string{},
	}
	t.placement = NewPlacement(t.tree)
	t.view = t.makeView(now)
	return t
}

// Tree returns the configuration in force.
func (c *Control) Tree() *shuntconfig.Tree { return c.tree }

// View returns the view published last.
func (c *Control) View() *View { return c.view }

// RecordPlatformResponse books that the platform answered.
func (c *Control) RecordPlatformResponse(now time.Time) { c.platformHeard = now }

// MarkSynced books that the VM has learned the configuration that the platform or
// its peers hold, and may serve.
func (c *Control) MarkSynced() { c.synced = true }

// SendSuspicions sends the guard's table with heartbeats that are due at once.
func (c *Control) SendSuspicions(now time.Time) {
	for _, m := range c.members {
		m.sentSuspicions = time.Time{}
	}
	c.nextBeat = now
	c.nextFar = now
}

// Leave announces that the VM goes away.
func (c *Control) Leave() { c.leaving = true }

// Apply brings documents into force that are newer than those at hand, and
// reports whether any was.
func (c *Control) Apply(now time.Time, docs ...shuntconfig.Document) bool {
	t := c.tree.With(docs...)
	if t == c.tree {
		return false
	}
	before, old := c.tree, c.placement
	c.tree = t
	c.placement = NewPlacement(t)
	c.setMembers()
	c.settle(old, now)
	for k, r := range t.Refusals() {
		if before.Refusals()[k] != r {
			klog.InfoS("Document refused; the last good one stays", "key", k, "version", r.Version, "reason", r.Err.Error())
		}
	}
	klog.InfoS("Configuration in force", "digest", fmt.Sprintf("%016x", t.Digest()), "fleetVersion", t.Fleet().Version)
	c.publish(now)
	return true
}

// settle freezes votes where the voters before and now could each have a
// majority of their own.
func (c *Control) settle(old *Placement, now time.Time) {
	was, is := names(old.Voters(c.config.Cell)), names(c.placement.Voters(c.config.Cell))
	if mustSettle(was, is) {
		klog.InfoS("Cell changed by more than majorities can bridge; no new leases for a while", "cell", c.config.Cell, "wait", settleTime)
		c.voter.Freeze(now)
	}
	for _, id := range c.placement.Servers(c.config.Cell) {
		if from := old.Cell(id); from != "" && from != c.config.Cell {
			c.voter.FreezeResource(ResourceOf(id), now)
		}
	}
}

func names(vms []shuntconfig.VM) []string {
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

// HeartbeatDue says whether a heartbeat is due before the next tick.
func (c *Control) HeartbeatDue(now time.Time) bool {
	return !now.Before(c.nextBeat) || !now.Before(c.nextFar)
}

// Tick brings wants, leases and view up to date and returns the heartbeats
// that are due.
func (c *Control) Tick(now time.Time) []OutgoingBeat {
	c.voter.RemoveExpired(now)
	c.plan(now)
	c.publish(now)
	c.giveUpIdle(now)
	var out []OutgoingBeat
	if !now.Before(c.nextBeat) {
		out = c.beatCell(now)
		c.nextBeat = now.Add(HeartbeatInterval)
		if c.misses(now) {
			c.nextBeat = now.Add(urgentInterval)
		}
		c.publish(now)
	}
	if !now.Before(c.nextFar) {
		c.nextFar = now.Add(farInterval)
		out = append(out, c.beatFar(now)...)
	}
	return out
}

// publish makes a new view the one in force.
func (c *Control) publish(now time.Time) {
	c.view = c.makeView(now)
	if c.config.OnView != nil {
		c.config.OnView(c.view)
	}
}

func (c *Control) makeView(now time.Time) *View {
	v := &View{
		Tree:      c.tree,
		Placement: c.placement,
		Self:      c.status(),
		Isolated:  c.isolated(now),
		InService: c.inService(),
		leases:    map[string]shuntowner.LeaseState{},
		unheard:   map[string]bool{},
		majority:  c.hearsMajority(now),
		voters:    len(c.placement.Voters(c.config.Cell)),
	}
	for _, id := range c.placement.Servers(c.config.Cell) {
		v.leases[id] = c.leaseState(id, v.voters, now)
	}
	for n, m := range c.members {
		s := m.status
		s.Leaving = s.Leaving || c.listedLeaving[n]
		v.Peers = append(v.Peers, Peer{Name: n, Zone: m.vm.Zone, Status: s, LastHeard: m.heard, Live: m.live(now)})
		if m.vm.Cell == c.config.Cell && !m.live(now) && now.Sub(c.began) > deadAfter {
			// Right after the start nobody was heard yet, which says nothing.
			v.unheard[n] = true
			// The order of a map must not show, so the names are added up.
			v.live += uint64(ResourceOf(n))
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
