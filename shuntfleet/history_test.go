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

// sim runs the controls of a cell by hand: no goroutines, no real time. Each
// VM has a clock of its own rate; messages are delayed, lost and reordered; VMs
// are paused and restarted, cut off, and taken from and put on the list.
type sim struct {
	random *rand.Rand
	now    time.Time
	nodes  []*simNode
	mail   []simMail
	fleet  shuntconfig.Fleet
	docs   map[shuntconfig.Key]shuntconfig.Document
	cut    map[[2]int]bool

	// broken turns the amnesia rule off, to show that the check can fail.
	broken bool
	events []porcupine.Event
	opID   int
}

type simNode struct {
	control *Control
	rate    float64
	base    time.Time
	began   time.Time
	paused  time.Time
	life    int
	// holds are the servers that the node used at its last step, with the
	// number of the operation.
	holds map[string]int
}

type simMail struct {
	at       time.Time
	to, from int
	beat     *OutgoingBeat
	life     int
	reply    *BeatReply
	original OutgoingBeat
}

func newSim(seed uint64, broken bool) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(seed, 3)),
		now:    time.Unix(1_000_000, 0),
		docs:   map[shuntconfig.Key]shuntconfig.Document{},
		cut:    map[[2]int]bool{},
		broken: broken,
	}
	s.fleet.Zones = []shuntconfig.Zone{{Name: "z", Region: "r", InService: true}}
	for i := range simVMs {
		s.fleet.VMs = append(s.fleet.VMs, shuntconfig.VM{
			Name: simName(i), Zone: "z", Cell: "c", InService: true,
			CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2", OperatorAddress: "10.0.0.1:3",
		})
	}
	service := shuntconfig.Service{
		Name: "s", Slots: 2, Connections: 10, ColdBears: 1, WarmStepRequests: 1,
		Snapshots: []shuntconfig.Snapshot{{ID: shuntconfig.SnapshotID{Version: 1}, Shards: []shuntconfig.Shard{{Name: "a"}}}},
	}
	for r := range 4 {
		service.Servers = append(service.Servers, shuntconfig.Server{Name: fmt.Sprintf("r%d", r), Address: "10.0.0.2:1", Zone: "z"})
	}
	s.put("Service/s", shuntconfig.EncodeService(service))
	s.put(shuntconfig.FleetKey, shuntconfig.EncodeFleet(s.fleet))
	s.nodes = make([]*simNode, simVMs)
	for i := range s.nodes {
		s.nodes[i] = &simNode{rate: 0.99 + 0.02*s.random.Float64(), base: s.now, began: s.now, holds: map[string]int{}}
		s.boot(i)
	}
	return s
}

func simName(i int) string { return fmt.Sprintf("vm-%d", i) }

func (s *sim) put(k shuntconfig.Key, body []byte) {
	s.docs[k] = shuntconfig.Document{Key: k, Version: s.docs[k].Version + 1, Body: body}
}

// clock is the node's own time.
func (s *sim) clock(i int) time.Time {
	n := s.nodes[i]
	return n.began.Add(time.Duration(n.rate * float64(s.now.Sub(n.base))))
}

func (s *sim) boot(i int) {
	n := s.nodes[i]
	s.release(i, nil)
	n.life++
	n.control = NewControl(ControlConfig{VM: simName(i), Start: fmt.Sprint(n.life), Cell: "c"}, s.clock(i))
	if s.broken {
		n.control.voter.quiet = time.Time{}
	}
	s.learn(i)
	n.control.MarkSynced()
}

func (s *sim) learn(i int) {
	var docs []shuntconfig.Document
	for _, d := range s.docs {
		docs = append(docs, d)
	}
	s.nodes[i].control.Apply(s.clock(i), docs...)
}

func (s *sim) run() {
	for end := s.now.Add(simTime); s.now.Before(end); s.now = s.now.Add(simStep) {
		s.faults()
		s.deliver()
		for i, n := range s.nodes {
			if s.now.Before(n.paused) {
				continue
			}
			for _, o := range n.control.Tick(s.clock(i)) {
				s.post(simMail{to: simIndex(o.To), from: i, beat: &o, life: n.life})
			}
		}
		s.observe()
	}
	for i := range s.nodes {
		s.release(i, nil)
	}
}

func simIndex(name string) int {
	var i int
	_, _ = fmt.Sscanf(name, "vm-%d", &i)
	return i
}

func (s *sim) faults() {
	r := s.random
	i, j := r.IntN(simVMs), r.IntN(simVMs)
	switch x := r.Float64(); {
	case x < 0.002:
		s.nodes[i].paused = s.now.Add(time.Duration(r.IntN(5000)) * time.Millisecond)
		// A paused process uses nothing; what it believes shows when it wakes.
		s.release(i, nil)
	case x < 0.004:
		s.boot(i)
	case x < 0.008:
		s.cut[[2]int{i, j}] = !s.cut[[2]int{i, j}]
	case x < 0.010:
		clear(s.cut)
	case x < 0.011:
		// Operators take one VM out or bring it back.
		s.fleet = s.fleet.WithVMInService(simName(i), r.IntN(2) == 0)
		s.put(shuntconfig.FleetKey, shuntconfig.EncodeFleet(s.fleet))
	case x < 0.03:
		s.learn(j)
	}
}

func (s *sim) post(m simMail) {
	if s.random.Float64() < 0.05 || s.cut[[2]int{m.from, m.to}] {
		return
	}
	m.at = s.now.Add(time.Duration(1+s.random.IntN(30)) * time.Millisecond)
	if s.random.Float64() < 0.05 {
		m.at = m.at.Add(time.Duration(s.random.IntN(3000)) * time.Millisecond)
	}
	s.mail = append(s.mail, m)
}

func (s *sim) deliver() {
	slices.SortStableFunc(s.mail, func(a, b simMail) int { return a.at.Compare(b.at) })
	var due, left []simMail
	for _, m := range s.mail {
		if m.at.After(s.now) || s.now.Before(s.nodes[m.to].paused) {
			left = append(left, m)
			continue
		}
		due = append(due, m)
	}
	s.mail = left
	for _, m := range due {
		s.handle(m)
	}
}

func (s *sim) handle(m simMail) {
	n := s.nodes[m.to]
	if m.reply == nil {
		p := n.control.HandleBeat(m.beat.Beat, s.clock(m.to))
		s.post(simMail{to: m.from, from: m.to, reply: &p, original: *m.beat, life: m.life})
		return
	}
	if m.life == n.life {
		n.control.HandleReply(m.original, *m.reply, s.clock(m.to))
	}
}

// observe records which servers the nodes would send to now. All ends of use
// come before the begins: they share one moment, and a node that is looked at
// later has not used its lease for longer.
func (s *sim) observe() {
	held := make([]map[string]bool, len(s.nodes))
	for i, n := range s.nodes {
		if s.now.Before(n.paused) {
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

// release records the end of use of what is not in held.
func (s *sim) release(i int, held map[string]bool) {
	for id := range s.nodes[i].holds {
		if !held[id] {
			delete(s.nodes[i].holds, id)
			s.record(i, lockOp{server: id, vm: i})
		}
	}
}

// lockOp is the begin or end of a VM's use of a server.
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

// lockModel is a lock on each server: use by two VMs at a time has no order
// that explains it.
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

// TestOneHolder checks histories of leases under pauses, restarts, lost and
// late messages, cuts, drifting clocks and list changes: never two holders.
func TestOneHolder(t *testing.T) {
	for seed := range uint64(simSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(seed, false)
			s.run()
			if len(s.events) < 20 {
				t.Errorf("only %d events; the run shows nothing", len(s.events))
			}
			if !porcupine.CheckEvents(lockModel, s.events) {
				t.Error("two VMs held a server at the same time")
			}
		})
	}
}

// TestOneHolderCanFail: without the rule that a restarted voter keeps silent,
// the same histories show two holders.
func TestOneHolderCanFail(t *testing.T) {
	bad := 0
	for seed := range uint64(simSeeds / 3) {
		s := newSim(seed, true)
		s.run()
		if !porcupine.CheckEvents(lockModel, s.events) {
			bad++
		}
	}
	if bad == 0 {
		t.Error("no seed fails without the rule")
	}
	t.Logf("%d of %d seeds fail without the rule", bad, simSeeds/3)
}
