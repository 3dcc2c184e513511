package shuntfleet

import (
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
	// HandOver is called with a server that this VM gives to another one,
	// right before it gives it up; nil is allowed.
	HandOver func(server, vm string)
	// Guard spreads its suspicions with the heartbeats; nil is allowed.
	Guard *shuntguard.Guard
	// Load returns the number of queries that the VM works on; nil is allowed.
	Load func() int
	// Publish is called with each new view, before any message that depends
	// on it is made.
	Publish func(*View)
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
	leaving   bool
	synced    bool
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

// member is another VM.
type member struct {
	vm     shuntconfig.VM
	status Status
	heard  time.Time
	// wantsVersion names the list of wanted resources in wants; it is known
	// of the life in status.Start only.
	wantsVersion uint64
	wants        []Resource
	// sentWants is the version of this VM's list that the member has.
	sentWants      uint64
	sentSuspicions time.Time
	// mismatchSince is since when the member's digest differs from ours.
	mismatchSince time.Time
}

// holding is a server that this VM wants or has.
type holding struct {
	grants grants
	// from is the first heartbeat that asked for it in this holding.
	from  uint64
	until time.Time
	// next is the VM that it is being given to; "" when it is kept.
	next string
	// asked: it was asked for at once when it became free.
	asked bool
}

// NewControl returns the Control of a VM that has just started.
func NewControl(c ControlConfig, now time.Time) *Control {
	if c.Random == nil {
		c.Random = shuntrandom.New(0)
	}
	t := &Control{
		config:  c,
		tree:    shuntconfig.NewTree(),
		members: map[string]*member{},
		voter:   NewVoter(now),
		held:    map[string]*holding{},
		began:   now,
	}
	t.placement = NewPlacement(t.tree)
	t.view = t.makeView(now)
	return t
}

// Tree returns the configuration in force.
func (c *Control) Tree() *shuntconfig.Tree { return c.tree }

// View returns the view published last.
func (c *Control) View() *View { return c.view }

// PlatformHeard books that the platform answered.
func (c *Control) PlatformHeard(now time.Time) { c.platformHeard = now }

// SetLeaving takes over which VMs the platform lists as leaving.
func (c *Control) SetLeaving(vms map[string]bool) { c.listedLeaving = vms }

// Synced books that the VM has learned the configuration that the platform or
// its peers hold, and may serve.
func (c *Control) Synced() { c.synced = true }

// SpreadSuspicions sends the guard's table with heartbeats that are due at once.
func (c *Control) SpreadSuspicions(now time.Time) {
	for _, m := range c.members {
		m.sentSuspicions = time.Time{}
	}
	c.nextBeat = now
	c.nextFar = now
}

// Leave announces that the VM goes away.
func (c *Control) Leave() { c.leaving = true }

// Put brings documents into force that are newer than those at hand, and
// reports whether any was.
func (c *Control) Put(now time.Time, docs ...shuntconfig.Document) bool {
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
	klog.InfoS("Configuration in force", "digest", t.Digest(), "fleetVersion", t.Fleet().Version)
	c.publish(now)
	return true
}

// setMembers brings the table of VMs in line with the Fleet document.
func (c *Control) setMembers() {
	named := map[string]bool{}
	for _, v := range c.tree.Fleet().VMs {
		if v.Name == c.config.VM {
			continue
		}
		named[v.Name] = true
		m, ok := c.members[v.Name]
		if !ok {
			m = &member{}
			c.members[v.Name] = m
		}
		m.vm = v
	}
	for n := range c.members {
		if !named[n] {
			delete(c.members, n)
		}
	}
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
			c.voter.FreezeOne(ResourceOf(id), now)
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

func (m *member) live(now time.Time) bool {
	return !m.heard.IsZero() && now.Sub(m.heard) < deadAfter
}

// isolated says whether nothing was heard from anybody for too long. What was
// heard before the start counts from the start.
func (c *Control) isolated(now time.Time) bool {
	last := c.began
	if c.platformHeard.After(last) {
		last = c.platformHeard
	}
	for _, m := range c.members {
		if m.heard.After(last) {
			last = m.heard
		}
	}
	return now.Sub(last) >= isolatedAfter
}

// Due says whether a heartbeat is due before the next tick.
func (c *Control) Due(now time.Time) bool {
	return !now.Before(c.nextBeat) || !now.Before(c.nextFar)
}

// Tick brings wants, leases and view up to date and returns the heartbeats
// that are due.
func (c *Control) Tick(now time.Time) []Outgoing {
	c.voter.Sweep(now)
	c.plan(now)
	c.publish(now)
	c.giveUpIdle(now)
	var out []Outgoing
	if !now.Before(c.nextBeat) {
		out = c.beatCell(now)
		c.nextBeat = now.Add(BeatInterval)
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

// plan works out which servers this VM should own and starts to hand over
// those that it should not.
func (c *Control) plan(now time.Time) {
	assigned := c.placement.Assign(c.config.Cell, func(v shuntconfig.VM) bool { return c.mayOwn(v, now) })
	for id, vm := range assigned {
		h, ok := c.held[id]
		switch {
		case vm == c.config.VM && !ok:
			c.held[id] = &holding{grants: grants{}, from: c.sequence + 1}
			c.wantsVersion++
		case vm == c.config.VM && h.next != "":
			h.next = ""
		case vm != c.config.VM && ok && h.next != vm:
			h.next = vm
			klog.V(1).InfoS("Backend server is handed over", "server", id, "to", vm)
		}
	}
	for id := range c.held {
		if c.placement.Cell(id) != c.config.Cell {
			c.drop(id)
		}
	}
}

func (c *Control) mayOwn(v shuntconfig.VM, now time.Time) bool {
	if !c.tree.Fleet().VMInService(v.Name) {
		return false
	}
	if v.Name == c.config.VM {
		return c.ready() && !c.leaving
	}
	m, ok := c.members[v.Name]
	return ok && m.live(now) && m.status.Ready && !m.status.Leaving
}

// giveUpIdle drops the servers being handed over that have nothing in flight.
// The view that was published before no longer has their leases, so that
// nothing new can have come since.
func (c *Control) giveUpIdle(now time.Time) {
	for id, h := range c.held {
		if h.next == "" {
			continue
		}
		if expired(h.until, now) || c.config.Idle == nil || c.config.Idle(id) {
			if c.config.HandOver != nil {
				c.config.HandOver(id, h.next)
			}
			c.drop(id)
			c.nextBeat = now
		}
	}
}

// canTake says whether a wanted server is free, as far as this voter knows.
func (c *Control) canTake(now time.Time) bool {
	for id, h := range c.held {
		if h.next == "" && expired(h.until, now) && c.voter.Holder(ResourceOf(id), now) == "" && !h.asked {
			h.asked = true
			return true
		}
	}
	return false
}

func (c *Control) drop(id string) {
	delete(c.held, id)
	c.wantsVersion++
}

// misses says whether a wanted lease is missing.
func (c *Control) misses(now time.Time) bool {
	for _, h := range c.held {
		if h.next == "" && expired(h.until, now) {
			return true
		}
	}
	return false
}

// publish makes a new view the one in force.
func (c *Control) publish(now time.Time) {
	c.view = c.makeView(now)
	if c.config.Publish != nil {
		c.config.Publish(c.view)
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
		voters:    len(c.placement.Voters(c.config.Cell)),
	}
	for _, id := range c.placement.Servers(c.config.Cell) {
		v.leases[id] = c.leaseState(id, v.voters, now)
	}
	for n, m := range c.members {
		s := m.status
		s.Leaving = s.Leaving || c.listedLeaving[n]
		v.Peers = append(v.Peers, Peer{Name: n, Zone: m.vm.Zone, Status: s, Heard: m.heard, Live: m.live(now)})
	}
	slices.SortFunc(v.Peers, func(a, b Peer) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return v
}

func (c *Control) leaseState(id string, voters int, now time.Time) shuntowner.LeaseState {
	s := shuntowner.LeaseState{Voters: max(1, voters)}
	h, ok := c.held[id]
	switch {
	case ok && h.next != "":
		s.Owner = h.next
		return s
	case ok && !expired(h.until, now):
		s.Held = true
		s.Until = h.until
		s.Owner = c.config.VM
		return s
	}
	if p := c.voter.Holder(ResourceOf(id), now); p != c.config.VM {
		s.Owner = p
	}
	return s
}

// Outgoing is a message to be sent.
type Outgoing struct {
	To      string
	Address string
	Beat    Beat
	// sent and wants are what the reply is read by.
	sent  time.Time
	wants []string
}

// beatCell votes for itself and returns the heartbeats to the cell.
func (c *Control) beatCell(now time.Time) []Outgoing {
	c.sequence++
	c.listWants()
	self := c.voter.Grant(Claimant{c.config.VM, c.config.Start}, c.sequence, c.wants, now)
	c.book(c.config.VM, self, c.wantNames, c.sequence, now, now)
	var out []Outgoing
	for _, v := range c.placement.Voters(c.config.Cell) {
		m, ok := c.members[v.Name]
		if !ok {
			continue
		}
		b := c.beat(m, now)
		b.WantsVersion = c.wantsVersion
		if m.sentWants != c.wantsVersion || c.wantsVersion == 0 {
			b.HasWants = true
			b.Wants = encodeResources(c.wants)
		}
		out = append(out, Outgoing{To: v.Name, Address: v.PeerAddress, Beat: b, sent: now, wants: c.wantNames})
	}
	return out
}

// beatFar returns a heartbeat to one random VM outside of the cell.
func (c *Control) beatFar(now time.Time) []Outgoing {
	var far []*member
	for _, m := range c.members {
		if m.vm.Cell != c.config.Cell {
			far = append(far, m)
		}
	}
	if len(far) == 0 {
		return nil
	}
	m := far[c.config.Random.Below(len(far))]
	c.sequence++
	return []Outgoing{{To: m.vm.Name, Address: m.vm.PeerAddress, Beat: c.beat(m, now), sent: now}}
}

func (c *Control) beat(m *member, now time.Time) Beat {
	return Beat{Status: c.status(), Sequence: c.sequence, Suspicions: c.suspicions(m, now)}
}

// suspicions returns the guard's table for a member, once in an interval.
func (c *Control) suspicions(m *member, now time.Time) []shuntguard.Suspicion {
	if c.config.Guard == nil || now.Sub(m.sentSuspicions) < suspicionsInterval {
		return nil
	}
	m.sentSuspicions = now
	return c.config.Guard.Export(maxSuspicionsSent)
}

// listWants makes the list of wanted resources, in order.
func (c *Control) listWants() {
	c.wantNames = make([]string, 0, len(c.held))
	for id := range c.held {
		c.wantNames = append(c.wantNames, id)
	}
	slices.Sort(c.wantNames)
	c.wants = make([]Resource, len(c.wantNames))
	for i, id := range c.wantNames {
		c.wants[i] = ResourceOf(id)
	}
}

func encodeResources(rs []Resource) []uint64 {
	out := make([]uint64, len(rs))
	for i, r := range rs {
		out[i] = uint64(r)
	}
	return out
}

func decodeResources(rs []uint64) []Resource {
	out := make([]Resource, len(rs))
	for i, r := range rs {
		out[i] = Resource(r)
	}
	return out
}

// HandleBeat answers a heartbeat.
func (c *Control) HandleBeat(b Beat, now time.Time) BeatReply {
	out := BeatReply{Status: c.status()}
	m, ok := c.members[b.Status.VM]
	if !ok || len(b.Wants) > maxWants {
		// A VM that is not published neither counts as live nor gets a vote.
		return out
	}
	c.hear(m, b.Status, now)
	c.mergeSuspicions(b.Suspicions)
	out.Suspicions = c.suspicions(m, now)
	if m.vm.Cell != c.config.Cell {
		return out
	}
	if b.HasWants && b.WantsVersion >= m.wantsVersion {
		m.wantsVersion = b.WantsVersion
		m.wants = decodeResources(b.Wants)
	}
	if b.WantsVersion != m.wantsVersion {
		out.NeedWants = true
		return out
	}
	if b.Status.FleetVersion < c.tree.Fleet().Version {
		// The sender may count by a list of VMs that is no longer in force.
		return out
	}
	out.Holders = c.voter.Grant(Claimant{b.Status.VM, b.Status.Start}, b.Sequence, c.known(m.wants), now)
	if c.canTake(now) {
		// What the sender has just given up is wanted here.
		c.nextBeat = now
	}
	out.AllGranted = all(out.Holders, b.Status.VM)
	if out.AllGranted {
		out.Holders = nil
	}
	return out
}

// known replaces what does not belong to this cell by a resource that nobody
// can hold; positions stay.
func (c *Control) known(rs []Resource) []Resource {
	out := make([]Resource, len(rs))
	for i, r := range rs {
		if id, ok := c.placement.Server(r); ok && c.placement.Cell(id) == c.config.Cell {
			out[i] = r
		}
	}
	return out
}

func all(ss []string, want string) bool {
	for _, s := range ss {
		if s != want {
			return false
		}
	}
	return true
}

// hear books a member's status.
func (c *Control) hear(m *member, s Status, now time.Time) {
	if m.status.Start != s.Start {
		m.wantsVersion = 0
		m.wants = nil
		m.sentWants = 0
		klog.V(1).InfoS("VM heard", "vm", s.VM, "start", s.Start)
	}
	m.status = s
	m.heard = now
	if s.Digest == c.tree.Digest() {
		m.mismatchSince = time.Time{}
		return
	}
	if m.mismatchSince.IsZero() {
		m.mismatchSince = now
	}
}

func (c *Control) mergeSuspicions(in []shuntguard.Suspicion) {
	if c.config.Guard != nil && len(in) > 0 {
		c.config.Guard.Merge(in)
	}
}

// HandleReply books the reply to a heartbeat.
func (c *Control) HandleReply(o Outgoing, r BeatReply, now time.Time) {
	m, ok := c.members[o.To]
	if !ok || r.Status.VM != o.To {
		return
	}
	c.hear(m, r.Status, now)
	c.mergeSuspicions(r.Suspicions)
	if m.vm.Cell != c.config.Cell || o.wants == nil {
		return
	}
	if r.NeedWants {
		m.sentWants = 0
		c.nextBeat = now
		return
	}
	m.sentWants = o.Beat.WantsVersion
	holders := r.Holders
	if r.AllGranted {
		holders = slices.Repeat([]string{c.config.VM}, len(o.wants))
	}
	c.book(o.To, holders, o.wants, o.Beat.Sequence, o.sent, now)
}

// book enters a voter's grants for the named servers, asked for at sent.
func (c *Control) book(voter string, holders, servers []string, sequence uint64, sent, now time.Time) {
	gained := false
	for i, id := range servers {
		h, ok := c.held[id]
		if !ok || sequence < h.from || i >= len(holders) {
			continue
		}
		if holders[i] != c.config.VM {
			// An earlier grant stays good for its time: the voter can't have
			// promised the server to another VM before then.
			continue
		}
		h.grants[voter] = sent.Add(leaseTime)
		was := expired(h.until, now)
		h.until = h.grants.until(names(c.placement.Voters(c.config.Cell)))
		if was && !expired(h.until, now) {
			gained = true
			klog.V(1).InfoS("Lease gained", "server", id, "until", h.until)
		}
	}
	if gained {
		c.publish(now)
	}
}

// FetchFrom returns a live VM whose configuration has differed from this one's
// for long enough that it does not just arrive, or at once while this VM has
// none; false when there is none.
func (c *Control) FetchFrom(now time.Time) (string, string, bool) {
	wait := 2 * BeatInterval
	if !c.synced {
		wait = 0
	}
	var best *member
	for _, m := range c.members {
		if !m.live(now) || m.mismatchSince.IsZero() || now.Sub(m.mismatchSince) < wait {
			continue
		}
		if m.status.FleetVersion > c.tree.Fleet().Version {
			best = m
			break
		}
		if best == nil || m.mismatchSince.Before(best.mismatchSince) {
			best = m
		}
	}
	if best == nil {
		return "", "", false
	}
	// The next turn is another member's, unless this one still differs then.
	best.mismatchSince = now
	return best.vm.Name, best.vm.PeerAddress, true
}
