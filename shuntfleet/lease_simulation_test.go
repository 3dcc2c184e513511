package shuntfleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
)

const (
	simStep  = 10 * time.Millisecond
	simTime  = 40 * time.Second
	simVMs   = 5
	simSeeds = 60
)

// sim runs the Controls of one cell without goroutines and in simulated time.
// Each VM has a clock with its own rate. Messages are delayed, lost and
// reordered. VMs are paused, restarted, disconnected from each other, and taken
// out of and put back into service.
type sim struct {
	random       *rand.Rand
	now          time.Time
	nodes        []*simNode
	messages     []simMessage
	fleet        shuntconfig.Fleet
	docs         map[shuntconfig.Key]shuntconfig.Document
	disconnected map[[2]int]bool

	// skipQuietTime lets a restarted voter make promises immediately, to show
	// that the check can fail.
	skipQuietTime bool
	events        []porcupine.Event
	opID          int
}

type simNode struct {
	control     *Control
	rate        float64
	simStart    time.Time
	clockStart  time.Time
	pausedUntil time.Time
	process     int
	// holds maps the servers that the node used at its last step to the ID of
	// the operation that recorded the start of the use.
	holds map[string]int
}

type simMessage struct {
	at       time.Time
	to, from int
	beat     *OutgoingBeat
	process  int
	reply    *BeatReply
	original OutgoingBeat
}

func newSim(seed uint64, skipQuietTime bool) *sim {
	s := &sim{
		random:        rand.New(rand.NewPCG(seed, 3)),
		now:           time.Unix(1_000_000, 0),
		docs:          map[shuntconfig.Key]shuntconfig.Document{},
		disconnected:  map[[2]int]bool{},
		skipQuietTime: skipQuietTime,
	}
	s.fleet.Zones = []shuntconfig.Zone{{Name: "z", Region: "r", InService: true}}
	for i := range simVMs {
		s.fleet.VMs = append(s.fleet.VMs, shuntconfig.VM{
			Name: simVMName(i), Zone: "z", Cell: "c", InService: true,
			CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2", OperatorAddress: "10.0.0.1:3",
		})
	}
	service := shuntconfig.Service{
		Name: "s", Slots: 2, Connections: 10, InitialSlots: 1, WarmStepRequests: 1,
		Snapshots: []shuntconfig.Snapshot{{ID: shuntconfig.SnapshotID{Version: 1}, Shards: []shuntconfig.Shard{{Name: "a"}}}},
	}
	for r := range 4 {
		service.Servers = append(service.Servers, shuntconfig.Server{Name: fmt.Sprintf("r%d", r), Address: "10.0.0.2:1", Zone: "z"})
	}
	s.put("Service/s", shuntconfig.EncodeService(service))
	s.put(shuntconfig.FleetKey, shuntconfig.EncodeFleet(s.fleet))
	s.nodes = make([]*simNode, simVMs)
	for i := range s.nodes {
		s.nodes[i] = &simNode{rate: 0.99 + 0.02*s.random.Float64(), simStart: s.now, clockStart: s.now, holds: map[string]int{}}
		s.start(i)
	}
	return s
}

func simVMName(i int) string { return fmt.Sprintf("vm-%d", i) }

func (s *sim) put(k shuntconfig.Key, body []byte) {
	s.docs[k] = shuntconfig.Document{Key: k, Version: s.docs[k].Version + 1, Body: body}
}

// clock returns the local time of a node.
func (s *sim) clock(i int) time.Time {
	n := s.nodes[i]
	return n.clockStart.Add(time.Duration(n.rate * float64(s.now.Sub(n.simStart))))
}

func (s *sim) start(i int) {
	n := s.nodes[i]
	s.release(i, nil)
	n.process++
	n.control = NewControl(ControlConfig{VM: simVMName(i), Start: fmt.Sprint(n.process), Cell: "c"}, s.clock(i))
	if s.skipQuietTime {
		n.control.voter.quietUntil = time.Time{}
	}
	s.updateConfiguration(i)
	n.control.MarkSynced()
}

func (s *sim) updateConfiguration(i int) {
	var docs []shuntconfig.Document
	for _, d := range s.docs {
		docs = append(docs, d)
	}
	s.nodes[i].control.Apply(s.clock(i), docs...)
}

func (s *sim) run() {
	for end := s.now.Add(simTime); s.now.Before(end); s.now = s.now.Add(simStep) {
		s.injectFaults()
		s.deliver()
		for i, n := range s.nodes {
			if s.now.Before(n.pausedUntil) {
				continue
			}
			for _, o := range n.control.Tick(s.clock(i)) {
				s.send(simMessage{to: simVMIndex(o.To), from: i, beat: &o, process: n.process})
			}
		}
		s.observe()
	}
	for i := range s.nodes {
		s.release(i, nil)
	}
}

func simVMIndex(name string) int {
	var i int
	_, _ = fmt.Sscanf(name, "vm-%d", &i)
	return i
}

func (s *sim) injectFaults() {
	r := s.random
	i, j := r.IntN(simVMs), r.IntN(simVMs)
	switch x := r.Float64(); {
	case x < 0.002:
		s.nodes[i].pausedUntil = s.now.Add(time.Duration(r.IntN(5000)) * time.Millisecond)
		// A paused process sends no requests. observe checks what it believes
		// to hold when it continues.
		s.release(i, nil)
	case x < 0.004:
		s.start(i)
	case x < 0.008:
		s.disconnected[[2]int{i, j}] = !s.disconnected[[2]int{i, j}]
	case x < 0.010:
		clear(s.disconnected)
	case x < 0.011:
		// Take a VM out of service or put it back.
		s.fleet = s.fleet.WithVMInService(simVMName(i), r.IntN(2) == 0)
		s.put(shuntconfig.FleetKey, shuntconfig.EncodeFleet(s.fleet))
	case x < 0.03:
		s.updateConfiguration(j)
	}
}

func (s *sim) send(m simMessage) {
	if s.random.Float64() < 0.05 || s.disconnected[[2]int{m.from, m.to}] {
		return
	}
	m.at = s.now.Add(time.Duration(1+s.random.IntN(30)) * time.Millisecond)
	if s.random.Float64() < 0.05 {
		m.at = m.at.Add(time.Duration(s.random.IntN(3000)) * time.Millisecond)
	}
	s.messages = append(s.messages, m)
}

func (s *sim) deliver() {
	slices.SortStableFunc(s.messages, func(a, b simMessage) int { return a.at.Compare(b.at) })
	var due, pending []simMessage
	for _, m := range s.messages {
		if m.at.After(s.now) || s.now.Before(s.nodes[m.to].pausedUntil) {
			pending = append(pending, m)
			continue
		}
		due = append(due, m)
	}
	s.messages = pending
	for _, m := range due {
		s.handle(m)
	}
}

func (s *sim) handle(m simMessage) {
	n := s.nodes[m.to]
	if m.reply == nil {
		p := n.control.HandleBeat(m.beat.Beat, s.clock(m.to))
		s.send(simMessage{to: m.from, from: m.to, reply: &p, original: *m.beat, process: m.process})
		return
	}
	if m.process == n.process {
		n.control.HandleReply(m.original, *m.reply, s.clock(m.to))
	}
}

// observe records which servers the nodes would send requests to now. It
// records all ends of use before all starts: they happen at the same instant,
// and a node that is checked later has not used its lease for longer.
func (s *sim) observe() {
	held := make([]map[string]bool, len(s.nodes))
	for i, n := range s.nodes {
		if s.now.Before(n.pausedUntil) {
			continue
		}
		held[i] = map[string]bool{}
		v := n.control.View()
		for _, id := range v.Placement.Servers("c") {
			if v.Lease(id, s.clock(i)).Held {
				held[i][id] = true
			}
		}
		s.release(i, held[i])
	}
	for i, n := range s.nodes {
		for id := range held[i] {
			if _, ok := n.holds[id]; !ok {
				n.holds[id] = s.record(i, lockOp{server: id, vm: i, lock: true})
			}
		}
	}
}

// release records the end of use of the servers that are not in held.
func (s *sim) release(i int, held map[string]bool) {
	for id := range s.nodes[i].holds {
		if !held[id] {
			delete(s.nodes[i].holds, id)
			s.record(i, lockOp{server: id, vm: i})
		}
	}
}

// lockOp is the start or end of a VM's use of a server.
type lockOp struct {
	server string
	vm     int
	lock   bool
}

func (s *sim) record(i int, op lockOp) int {
	s.opID++
	s.events = append(s.events,
		porcupine.Event{ClientId: i, Kind: porcupine.CallEvent, Value: op, Id: s.opID},
		porcupine.Event{ClientId: i, Kind: porcupine.ReturnEvent, Value: op, Id: s.opID})
	return s.opID
}

// lockModel models a lock on each server. A history in which two VMs use a
// server at the same time is not linearizable.
var lockModel = porcupine.Model{
	PartitionEvent: func(history []porcupine.Event) [][]porcupine.Event {
		byServer := map[string][]porcupine.Event{}
		for _, e := range history {
			op := e.Value.(lockOp)
			byServer[op.server] = append(byServer[op.server], e)
		}
		var out [][]porcupine.Event
		for _, h := range byServer {
			out = append(out, h)
		}
		return out
	},
	Init: func() any { return -1 },
	Step: func(state, input, _ any) (bool, any) {
		op, holder := input.(lockOp), state.(int)
		if op.lock {
			return holder == -1, op.vm
		}
		return holder == op.vm, -1
	},
}

// TestOneHolder checks that two VMs never hold the lease on a server at the
// same time, despite pauses, restarts, lost and late messages, disconnections,
// drifting clocks and changes of the list of VMs.
func TestOneHolder(t *testing.T) {
	for seed := range uint64(simSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(seed, false)
			s.run()
			if len(s.events) < 20 {
				t.Errorf("got %d events; want at least 20 for a meaningful history", len(s.events))
			}
			if !porcupine.CheckEvents(lockModel, s.events) {
				t.Error("two VMs held a server at the same time")
			}
		})
	}
}

// TestOneHolderCanFail checks that the histories of TestOneHolder show two
// holders if a restarted voter does not keep quiet at first.
func TestOneHolderCanFail(t *testing.T) {
	failed := 0
	for seed := range uint64(simSeeds / 3) {
		s := newSim(seed, true)
		s.run()
		if !porcupine.CheckEvents(lockModel, s.events) {
			failed++
		}
	}
	if failed == 0 {
		t.Error("no seed fails without the quiet time")
	}
	t.Logf("%d of %d seeds fail without the quiet time", failed, simSeeds/3)
}
