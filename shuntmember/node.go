package shuntmember

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntcatalog"
	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntguard"
	"mulberryshunt.example/mulberryshunt/shuntrandom"
)

const (
	// beatInterval is between datagrams of a VM.
	beatInterval = 500 * time.Millisecond
	// urgentPause is the least time between datagrams sent at once on a change.
	urgentPause = 100 * time.Millisecond
	// zoneFanout is how many live VMs of its zone get each datagram of a VM.
	zoneFanout = 2
	// farEvery is after how many beats the first VMs of a region also tell one
	// VM of its other zones and one of each other region.
	farEvery = 2
	// searchEvery is after how many beats each VM also tries a silent VM or a
	// seed, and one anywhere; with few VMs known it does so with farEvery.
	searchEvery = 8
	fewKnown    = 3
	// otherReports is how many VMs a datagram tells of beside the first ones of
	// each region: its size does not grow with the number of VMs.
	otherReports = 8
	// mostSuspicions bounds the suspicions of one datagram.
	mostSuspicions = 6
	// readBuffer holds one datagram.
	readBuffer = 64 << 10
)

// Config is what a Node is made of.
type Config struct {
	Address netip.AddrPort
	Zone    string
	// Capacity is what this VM can carry, in thousandths of a core.
	Capacity uint32
	// RegionOf gives the region of an availability zone.
	RegionOf func(zone string) string
	// Seeds returns the addresses that are tried while few VMs are known.
	Seeds  func() []netip.AddrPort
	Group  *shuntgroup.Group
	Random *shuntrandom.Source
	// Guard's suspicions travel with the reports.
	Guard SuspicionTable
	// ChangesSince returns what this VM knows to have changed after a revision.
	ChangesSince func(revision int64) shuntcatalog.Delta
}

// SuspicionTable are the contents under which backend servers died.
type SuspicionTable interface {
	Export(most int) []shuntguard.Suspicion
	Merge(in []shuntguard.Suspicion)
}

// Node takes part in the fleet.
type Node struct {
	config   Config
	updates  chan func(*MemberList)
	snapshot atomic.Pointer[Snapshot]
	socket   *net.UDPConn
	listener net.Listener
}

// NewNode returns a node that has not started.
func NewNode(c Config) *Node {
	n := &Node{config: c, updates: make(chan func(*MemberList), 64)}
	n.snapshot.Store(n.newRoster().Snapshot(time.Now(), false))
	return n
}

func (n *Node) newRoster() *MemberList {
	c := n.config
	return NewMemberList(Report{Address: c.Address, Zone: c.Zone, Capacity: c.Capacity, Start: uint64(time.Now().UnixMilli())}, c.RegionOf)
}

// Snapshot returns who lives.
func (n *Node) Snapshot() *Snapshot { return n.snapshot.Load() }

// Share implements shuntcall.Fleet.
func (n *Node) Share() float64 { return n.Snapshot().Share() }

// IsResponsibleFor implements shuntcall.Fleet.
func (n *Node) IsResponsibleFor(name string) bool { return n.Snapshot().IsResponsibleFor(name) }

// Start opens the node's ports and takes part until ctx ends.
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
	n.config.Group.Go(func() { n.control(ctx) })
	n.config.Group.Go(func() { n.serveState(ctx) })
	return nil
}

// Update changes what this VM reports of itself, and tells the others at once.
func (n *Node) Update(u func(*MemberList)) {
	select {
	case n.updates <- u:
	default:
		klog.InfoS("Change of this VM's report dropped", "queued", len(n.updates))
	}
}

// control is the one goroutine that touches the roster.
func (n *Node) control(ctx context.Context) {
	r := n.newRoster()
	started := time.Now()
	var told time.Time
	t := time.NewTicker(beatInterval)
	defer t.Stop()
	for beats := 0; ; {
		select {
		case u := <-n.updates:
			before := r.Self()
			u(r)
			if n.urgent(before, r.Self()) && time.Since(told) > urgentPause {
				told = time.Now()
				r.IncrementHeartbeat()
				n.send(r, beats, true)
			}
		case now := <-t.C:
			beats++
			r.IncrementHeartbeat()
			r.Expire(n.Snapshot().firsts(), now)
			n.send(r, beats, false)
		case <-ctx.Done():
			return
		}
		now := time.Now()
		n.snapshot.Store(r.Snapshot(now, now.Sub(started) > settleTime))
	}
}

// urgent says whether the others are to hear of a change of this VM's report at
// once.
func (n *Node) urgent(before, after Report) bool {
	return after.Leaving != before.Leaving || after.Serving != before.Serving || after.PlatformReachable != before.PlatformReachable || after.Revision > before.Revision
}

// send tells some VMs what this one has heard. Most datagrams stay in the zone:
// bytes between regions are dear.
func (n *Node) send(r *MemberList, beats int, urgent bool) {
	b := encodeDatagram(n.config.Guard.Export(mostSuspicions), r.ReportsToSend(n.Snapshot().firsts(), otherReports))
	for _, a := range n.targets(r, beats, urgent) {
		if a == n.config.Address {
			continue
		}
		if _, err := n.socket.WriteToUDPAddrPort(b, a); err != nil {
			klog.V(1).InfoS("Datagram not sent", "vm", a, "reason", err.Error())
		}
	}
}

func (n *Node) targets(r *MemberList, beats int, urgent bool) []netip.AddrPort {
	zone, region, others := r.AliveByProximity()
	to := n.some(zone, zoneFanout)
	far := urgent || beats%farEvery == 0
	if far && n.Snapshot().delegate(n.config.RegionOf(n.config.Zone)) {
		to = append(to, n.some(region, 1)...)
		for _, name := range slices.Sorted(maps.Keys(others)) {
			to = append(to, n.some(others[name], 1)...)
		}
	}
	few := len(zone)+len(region)+len(others) < fewKnown
	if beats%searchEvery == 0 || (few && far) {
		to = append(to, n.some(r.Silent(), 1)...)
		to = append(to, n.some(n.config.Seeds(), 1)...)
		to = append(to, n.some(region, 1)...)
	}
	return to
}

// some returns up to count of the addresses, at random.
func (n *Node) some(from []netip.AddrPort, count int) []netip.AddrPort {
	from = slices.Clone(from)
	for i := range min(count, len(from)) {
		j := i + n.config.Random.Below(len(from)-i)
		from[i], from[j] = from[j], from[i]
	}
	return from[:min(count, len(from))]
}

func (n *Node) receive(ctx context.Context) {
	b := make([]byte, readBuffer)
	for ctx.Err() == nil {
		size, from, err := n.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				klog.InfoS("Datagram not received", "reason", err.Error())
				continue
			}
			return
		}
		suspicions, reports, err := decodeDatagram(b[:size])
		if err != nil {
			klog.InfoS("Datagram passed over", "from", from, "bytes", size, "reason", err.Error())
			continue
		}
		n.config.Guard.Merge(suspicions)
		select {
		case n.updates <- func(r *MemberList) { r.Merge(reports, time.Now()) }:
		case <-ctx.Done():
			return
		}
	}
}
