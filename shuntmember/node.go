package shuntmember

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntbalance"
	"mulberryshunt.example/mulberryshunt/shuntcatalog"
	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntguard"
	"mulberryshunt.example/mulberryshunt/shuntrandom"
)

const (
	// heartbeatInterval is the time between two heartbeats of a VM, each of
	// which sends a datagram to some other VMs.
	heartbeatInterval = 500 * time.Millisecond
	// minUrgentInterval is the minimum time between two datagrams that are sent
	// immediately because of a change.
	minUrgentInterval = 100 * time.Millisecond
	// zoneFanout is the number of live VMs of its own zone that a VM sends each
	// datagram to.
	zoneFanout = 2
	// remotePeriod is the number of heartbeats after which the delegates of a
	// region also send to one VM in its other zones and to one VM in each other
	// region.
	remotePeriod = 2
	// searchPeriod is the number of heartbeats after which each VM also sends
	// to a silent VM, to a seed, and to a VM in another zone of its region. If
	// fewer than minKnownVMs other VMs are alive, it does so after remotePeriod
	// heartbeats.
	searchPeriod = 8
	minKnownVMs  = 3
	// maxOtherReports is the maximum number of reports in a datagram in
	// addition to the VM's own report and those of the preferred VMs. It keeps
	// the size of a datagram independent of the number of VMs.
	maxOtherReports = 8
	// readBufferSize is enough for a datagram of any size.
	readBufferSize = 64 << 10
)

// Config configures a Node.
type Config struct {
	Address netip.AddrPort
	Zone    string
	// Capacity is the capacity of this VM in thousandths of a core.
	Capacity uint32
	// RegionOf returns the region of an availability zone.
	RegionOf func(zone string) string
	// Seeds returns the addresses that datagrams are sent to in order to find
	// other VMs.
	Seeds  func() []netip.AddrPort
	Group  *shuntgroup.Group
	Random *shuntrandom.Source
	// Guard provides and receives the suspicions that are exchanged with the
	// reports.
	Guard NewsTable[shuntguard.Suspicion]
	// OlderGuard provides them as VMs of older builds know them.
	OlderGuard NewsTable[shuntguard.Suspicion]
	// Notices provides and receives the backend servers that are leaving.
	Notices NewsTable[shuntbalance.LeavingHint]
	// RateLimits holds the limits of backend servers that this VM divides with others.
	RateLimits RateLimits
	// ChangesSince returns the changes after a revision that this VM knows of.
	ChangesSince func(revision int64) shuntcatalog.Delta
}

// Node exchanges reports with the other VMs.
type Node struct {
	config     Config
	limits     *limitExchange
	suspicions *newsExchange[shuntguard.Suspicion]
	// older tells VMs of older builds of suspicions.
	older      *newsExchange[shuntguard.Suspicion]
	leaving    *newsExchange[shuntbalance.LeavingHint]
	limitHints *newsExchange[shuntbalance.LimitHint]
	// spreaders holds all exchanges of news.
	spreaders []spreader
	// received holds what datagrams bring, and own the changes of this VM's own report.
	received chan func(*MemberList)
	own      ownChanges
	snapshot atomic.Pointer[Snapshot]
	socket   *net.UDPConn
	listener net.Listener
}

// NewNode returns a Node that has not started.
func NewNode(c Config) *Node {
	n := &Node{config: c, received: make(chan func(*MemberList), 64), own: ownChanges{added: make(chan struct{}, 1)}}
	sendTo := func(b []byte, to netip.AddrPort) { n.send(b, []netip.AddrPort{to}) }
	n.limits = &limitExchange{self: c.Address, limits: c.RateLimits, divider: shuntbalance.NewRateDivider(), snapshot: n.Snapshot, send: sendTo}
	n.suspicions = newSuspicionExchange(c.Guard, n.Snapshot)
	n.suspicions.sample, n.suspicions.send = n.sample, sendTo
	n.older = newOlderExchange(c.OlderGuard, n.Snapshot)
	n.older.sample, n.older.send = n.sample, sendTo
	n.leaving = newLeavingExchange(c.Notices, n.Snapshot)
	n.leaving.sample, n.leaving.send = n.sample, sendTo
	n.limitHints = newLimitHintExchange(c.RateLimits, n.Snapshot)
	n.limitHints.sample, n.limitHints.send = n.sample, sendTo
	n.spreaders = []spreader{n.suspicions, n.older, n.leaving, n.limitHints}
	n.snapshot.Store(n.newMemberList().Snapshot(time.Now(), 0))
	return n
}

func (n *Node) newMemberList() *MemberList {
	c := n.config
	return NewMemberList(Report{Address: c.Address, Zone: c.Zone, Capacity: c.Capacity, Start: uint64(time.Now().UnixMilli()), Protocol: Protocol}, c.RegionOf)
}

// Snapshot returns the current view of the live VMs.
func (n *Node) Snapshot() *Snapshot { return n.snapshot.Load() }

// Share implements shuntcall.Fleet.
func (n *Node) Share() float64 { return n.Snapshot().Share() }

// IsResponsibleFor implements shuntcall.Fleet.
func (n *Node) IsResponsibleFor(name string) bool { return n.Snapshot().IsResponsibleFor(name) }

// Start opens the node's sockets and exchanges reports until ctx ends.
func (n *Node) Start(ctx context.Context) error {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(n.config.Address))
	if err != nil {
		return errors.Trace(err)
	}
	listener, err := net.Listen("tcp4", n.config.Address.String())
	if err != nil {
		_ = socket.Close()
		return errors.Trace(err)
	}
	n.socket, n.listener = socket, listener
	context.AfterFunc(ctx, func() {
		_ = socket.Close()
		_ = listener.Close()
	})
	n.config.Group.Go(func() { n.receive(ctx) })
	n.config.Group.Go(func() { n.run(ctx) })
	n.config.Group.Go(func() { n.claimLimits(ctx) })
	for _, s := range n.spreaders {
		n.config.Group.Go(func() { s.run(ctx) })
	}
	n.config.Group.Go(func() { n.serveState(ctx) })
	return nil
}

// SuspicionsChanged makes the node tell the other VMs soon which requests are suspects.
func (n *Node) SuspicionsChanged() {
	n.suspicions.signal()
	n.older.signal()
}

// LeavingChanged makes the node tell the other VMs soon which servers are leaving.
func (n *Node) LeavingChanged() { n.leaving.signal() }

// LimitsChanged makes the node tell the other VMs soon which limits servers have named.
func (n *Node) LimitsChanged() { n.limitHints.signal() }

// Update applies u, which changes this VM's own report, to the member list.
// Changes that are urgent are sent immediately.
func (n *Node) Update(u func(*MemberList)) { n.own.add(u) }

// ownChanges holds changes of this VM's own report that are still to be made. They are
// few, and most are made only once, so none may be lost among what datagrams bring.
type ownChanges struct {
	mu      sync.Mutex
	changes []func(*MemberList)
	// added is signalled when a change was added.
	added chan struct{}
}

func (c *ownChanges) add(u func(*MemberList)) {
	c.mu.Lock()
	c.changes = append(c.changes, u)
	c.mu.Unlock()
	select {
	case c.added <- struct{}{}:
	default:
		// A signal is pending.
	}
}

// apply makes the changes in the order in which they were added.
func (c *ownChanges) apply(l *MemberList) {
	c.mu.Lock()
	changes := c.changes
	c.changes = nil
	c.mu.Unlock()
	for _, u := range changes {
		shuntgroup.Protect("change of this VM's report", func() { u(l) })
	}
}

// run is the only goroutine that uses the member list.
func (n *Node) run(ctx context.Context) {
	l := n.newMemberList()
	started := time.Now()
	n.send(n.encodeReports(l), n.config.Seeds())
	var lastUrgent time.Time
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for heartbeats := 0; ; {
		changed := false
		before := l.Self()
		select {
		case u := <-n.received:
			shuntgroup.Protect("update of the member list", func() { u(l) })
			changed = l.TakeChanged() || l.Self().withoutCounters() != before.withoutCounters()
		case <-n.own.added:
			n.own.apply(l)
			changed = l.Self().withoutCounters() != before.withoutCounters()
			if n.isUrgent(before, l.Self()) && time.Since(lastUrgent) > minUrgentInterval {
				lastUrgent = time.Now()
				l.IncrementHeartbeat()
				n.sendReports(l, heartbeats, true)
			}
		case now := <-t.C:
			heartbeats++
			l.IncrementHeartbeat()
			l.Expire(n.Snapshot().preferredVMs(), now)
			n.sendReports(l, heartbeats, false)
			changed = true
		case <-ctx.Done():
			return
		}
		if !changed {
			// Most datagrams bring only heartbeats and loads, which the next tick takes
			// into account.
			continue
		}
		now := time.Now()
		n.snapshot.Store(l.Snapshot(now, now.Sub(started)))
	}
}

// isUrgent reports whether other VMs must learn immediately that this VM's
// report has changed.
func (n *Node) isUrgent(before, after Report) bool {
	return after.Leaving != before.Leaving || after.Serving != before.Serving || after.PlatformReachable != before.PlatformReachable || after.LinksLost != before.LinksLost || after.Revision > before.Revision
}

// sendReports sends reports to some other VMs. Most datagrams stay in the zone
// because traffic between regions is expensive.
func (n *Node) sendReports(l *MemberList, heartbeats int, urgent bool) {
	targets := n.targets(l, heartbeats, urgent)
	n.send(n.encodeReports(l), targets)
	for _, s := range n.spreaders {
		s.tellSome(targets)
	}
}

func (n *Node) encodeReports(l *MemberList) []byte {
	return encodeDatagram(l.ReportsToSend(n.Snapshot().preferredVMs(), maxOtherReports))
}

func (n *Node) send(b []byte, to []netip.AddrPort) {
	for _, a := range to {
		if a == n.config.Address {
			continue
		}
		if _, err := n.socket.WriteToUDPAddrPort(b, a); err != nil {
			klog.V(1).InfoS("Sending a datagram failed", "vm", a, "reason", err.Error())
		}
	}
}

func (n *Node) targets(l *MemberList, heartbeats int, urgent bool) []netip.AddrPort {
	zone, region, others := l.AliveByProximity()
	to := n.sample(zone, zoneFanout)
	remote := urgent || heartbeats%remotePeriod == 0
	if remote && n.Snapshot().isDelegate(n.config.RegionOf(n.config.Zone)) {
		to = append(to, n.sample(region, 1)...)
		for _, name := range slices.Sorted(maps.Keys(others)) {
			to = append(to, n.sample(others[name], 1)...)
		}
	}
	few := len(zone)+len(region)+len(others) < minKnownVMs
	if heartbeats%searchPeriod == 0 || (few && remote) {
		to = append(to, n.sample(l.Silent(), 1)...)
		to = append(to, n.sample(n.config.Seeds(), 1)...)
		to = append(to, n.sample(region, 1)...)
	}
	return to
}

// sample returns up to count random addresses.
func (n *Node) sample(from []netip.AddrPort, count int) []netip.AddrPort {
	from = slices.Clone(from)
	for i := range min(count, len(from)) {
		j := i + n.config.Random.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
	}
	return from[:min(count, len(from))]
}

func (n *Node) receive(ctx context.Context) {
	b := make([]byte, readBufferSize)
	for ctx.Err() == nil {
		size, from, err := n.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				klog.InfoS("Receiving a datagram failed", "reason", err.Error())
				continue
			}
			return
		}
		shuntgroup.Protect("datagram", func() { n.handleDatagram(ctx, from, b[:size]) })
	}
}

func (n *Node) handleDatagram(ctx context.Context, from netip.AddrPort, b []byte) {
	handled, err := n.limits.handle(from, b, time.Now())
	for _, s := range n.spreaders {
		if !handled {
			handled, err = s.handle(b)
		}
	}
	var suspicions []shuntguard.Suspicion
	var reports []Report
	if !handled {
		suspicions, reports, err = decodeDatagram(b)
	}
	if err != nil {
		klog.InfoS("Ignoring malformed datagram", "from", from, "bytes", len(b), "reason", err.Error())
	}
	if err != nil || handled {
		return
	}
	n.config.Guard.Merge(suspicions)
	select {
	case n.received <- func(l *MemberList) { n.merge(l, reports) }:
	case <-ctx.Done():
	}
}

// merge adds the reports of a datagram to the list. A process that was not known
// gets an answer at once: it has just started, and would otherwise hear of the
// others only when one of them happens to choose it.
func (n *Node) merge(l *MemberList, reports []Report) {
	joins := len(reports) > 0 && !l.Knows(reports[0])
	l.Merge(reports, time.Now())
	if joins {
		to := []netip.AddrPort{reports[0].Address}
		n.send(n.encodeReports(l), to)
		for _, s := range n.spreaders {
			s.tellNewcomer(reports[0])
		}
	}
}
