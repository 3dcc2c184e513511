package shuntcapacity

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntentry"
	"mulberryshunt.example/mulberryshunt/shuntfake"
	"mulberryshunt.example/mulberryshunt/shuntfleet"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
	"mulberryshunt.example/mulberryshunt/shuntquery"
)

// Slopes are the measured costs. Times are CPU microseconds of one core, and
// sizes are bytes.
type Slopes struct {
	// QueryMicroseconds, SubRequestMicroseconds and BatchMicroseconds are the
	// CPU times per query, per sub-request and per message between VMs. They
	// include the entry, the owner and the backend protocol.
	QueryMicroseconds      float64
	SubRequestMicroseconds float64
	BatchMicroseconds      float64
	// InFlightBytes is the memory of one sub-request in flight, at the entry and
	// at the owner together.
	InFlightBytes float64
	// BeatMicroseconds and BeatBytes are for one heartbeat with its reply, at
	// one end. BeatBytes includes both directions.
	BeatMicroseconds float64
	BeatBytes        float64
	// IdleMicroseconds is the CPU time per second of one VM without peers, and
	// ServerMicroseconds is what each backend server of its cell adds.
	IdleMicroseconds   float64
	ServerMicroseconds float64
	// PeerBytes is the memory of one open connection between VMs, at both ends
	// together.
	PeerBytes float64
	// DocumentBytes is the memory of one Service document with three servers, and
	// ChangeMicroseconds is the CPU time of putting one changed document in
	// force, per backend server of the configuration.
	DocumentBytes      float64
	ChangeMicroseconds float64
}

const (
	trafficTime  = 3 * time.Second
	warmupTime   = time.Second
	idleTime     = 5 * time.Second
	concurrency  = 16
	cleanupTime  = 500 * time.Millisecond
	rowsPerShard = 3
	rowTextBytes = 60
)

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func sampleRows() []byte {
	rows := make([]shuntquery.Row, rowsPerShard)
	for i := range rows {
		rows[i] = shuntquery.Row{Key: fmt.Sprintf("key-%d", i), Text: fmt.Sprintf("%0*d", rowTextBytes, i), Score: float64(i)}
	}
	return shuntquery.EncodeRows(rows)
}

// trafficRun is the result of one measured run with queries.
type trafficRun struct {
	size        testFleetSize
	queries     int
	subRequests int
	// messages is the number of messages between VMs per query.
	messages float64
	cpu      time.Duration
}

func (t trafficRun) cpuPerQuery() float64 {
	return float64(t.cpu.Microseconds()) / float64(t.queries)
}

// measureTraffic sends queries in a closed loop and measures the CPU time.
func measureTraffic(s testFleetSize) (trafficRun, error) {
	tf, err := newTestFleet(s, sampleRows())
	if err != nil {
		return trafficRun{}, err
	}
	defer tf.close()
	tf.sendQueries(warmupTime)
	before := tf.messagesSent()
	start := cpuTime()
	n, sent := tf.sendQueries(trafficTime)
	t := trafficRun{size: s, queries: n, subRequests: sent, cpu: cpuTime() - start}
	t.messages = (tf.messagesSent() - before) / float64(n)
	return t, nil
}

// sendQueries sends queries for d and returns the numbers of queries that were
// answered completely and of their sub-requests.
func (tf *testFleet) sendQueries(d time.Duration) (int, int) {
	var n, sent atomic.Int64
	var g sync.WaitGroup
	end := time.Now().Add(d)
	for i := range concurrency {
		g.Go(func() {
			f := tf.daemons[i%len(tf.daemons)].Frontend()
			for k := 0; time.Now().Before(end); k++ {
				a := f.Handle(context.Background(), workspace, fmt.Sprintf("q-%d-%d", i, k), shuntentry.Request{Query: "find something", Idempotent: true}, 0)
				if a.Outcome == shuntoutcome.Complete {
					n.Add(1)
					sent.Add(int64(a.Sent))
				}
			}
		})
	}
	g.Wait()
	return int(n.Load()), int(sent.Load())
}

// messagesSent returns the number of batches and early replies sent between VMs.
func (tf *testFleet) messagesSent() float64 {
	n := 0.0
	for _, d := range tf.daemons {
		n += d.MessagesSent()
	}
	return n
}

// idleRun is the result of one measured run without queries.
type idleRun struct {
	size testFleetSize
	// cpu (in microseconds), bytes and beats are per VM and second.
	cpu   float64
	bytes float64
	beats float64
}

func measureIdle(s testFleetSize) (idleRun, error) {
	tf, err := newTestFleet(s, nil)
	if err != nil {
		return idleRun{}, err
	}
	defer tf.close()
	time.Sleep(warmupTime)
	bytes, beats, start := tf.peerBytes.Load(), tf.heartbeatsSent(), cpuTime()
	time.Sleep(idleTime)
	vms, secs := float64(s.vms), idleTime.Seconds()
	return idleRun{
		size: s,
		cpu:  float64((cpuTime() - start).Microseconds()) / vms / secs,
		// Each connection is counted only at the end that dialed it, but carries
		// the traffic of two VMs.
		bytes: 2 * float64(tf.peerBytes.Load()-bytes) / vms / secs,
		beats: (tf.heartbeatsSent() - beats) / vms / secs,
	}, nil
}

func (tf *testFleet) heartbeatsSent() float64 {
	n := 0.0
	for _, d := range tf.daemons {
		n += d.HeartbeatsSent()
	}
	return n
}

// memoryInUse returns the size of the heap and stacks in use. It first waits so
// that goroutines that are ending can release their memory.
func memoryInUse() float64 {
	time.Sleep(cleanupTime)
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// measureInFlight returns the memory of one sub-request in flight. It measures
// the memory while the responder holds back the responses to many queries.
func measureInFlight() (float64, error) {
	tf, err := newTestFleet(testFleetSize{vms: 2, servers: 50}, sampleRows())
	if err != nil {
		return 0, err
	}
	defer tf.close()
	tf.sendQueries(warmupTime)
	tf.responder.release = make(chan struct{})
	before := memoryInUse()
	var g sync.WaitGroup
	const heldQueries = 50
	for i := range heldQueries {
		g.Go(func() {
			tf.daemons[i%2].Frontend().Handle(context.Background(), workspace, fmt.Sprintf("held-%d", i), shuntentry.Request{Query: "find something", Idempotent: true}, 0)
		})
	}
	time.Sleep(warmupTime)
	n := 0
	for _, d := range tf.daemons {
		n += d.Owner().InFlight()
	}
	used := memoryInUse() - before
	close(tf.responder.release)
	g.Wait()
	if n == 0 {
		return 0, fmt.Errorf("no sub-request was in flight")
	}
	return used / float64(n), nil
}

// measureDocuments returns the memory of one Service document and the CPU time
// of one changed document per backend server.
func measureDocuments() (bytes, micros float64) {
	const n = 2000
	docs := make([]shuntconfig.Document, n)
	for i := range docs {
		s := shuntconfig.Service{
			Name: fmt.Sprintf("s%04d", i), Slots: 2, Connections: 25, InitialSlots: 1, WarmStepRequests: 4,
			Snapshots: []shuntconfig.Snapshot{{ID: shuntfake.FirstSnapshot, Shards: []shuntconfig.Shard{{Name: "all"}}}},
		}
		for r := range 3 {
			name := fmt.Sprintf("r%d", r)
			s.Servers = append(s.Servers, shuntconfig.Server{Name: name, Address: "10.0.0.1:80", Zone: zone})
			s.Snapshots[0].Shards[0].Servers = append(s.Snapshots[0].Shards[0].Servers, name)
		}
		docs[i] = shuntconfig.Document{Key: shuntconfig.MakeKey(shuntconfig.KindService, s.Name), Version: 1, Body: shuntconfig.EncodeService(s)}
	}
	before := memoryInUse()
	t := shuntconfig.NewTree().With(docs...)
	p := shuntfleet.NewPlacement(t)
	bytes = (memoryInUse() - before) / n
	runtime.KeepAlive(p)
	const changes = 20
	start := cpuTime()
	for i := range changes {
		d := docs[i]
		d.Version = 2
		t = t.With(d)
		p = shuntfleet.NewPlacement(t)
	}
	micros = float64((cpuTime() - start).Microseconds()) / changes / (3 * n)
	runtime.KeepAlive(p)
	return bytes, micros
}

// Measure measures the slopes on this machine. It prints the figures from which
// it computes them to out, as TOML comments.
func Measure(out io.Writer) (Slopes, error) {
	var s Slopes
	if err := s.fitTraffic(out); err != nil {
		return s, err
	}
	if err := s.fitIdle(out); err != nil {
		return s, err
	}
	var err error
	if s.InFlightBytes, err = measureInFlight(); err != nil {
		return s, err
	}
	fmt.Fprintf(out, "# in flight: %.0f bytes a sub-request\n", s.InFlightBytes)
	if s.PeerBytes, err = measureConnections(); err != nil {
		return s, err
	}
	fmt.Fprintf(out, "# links: %.0f bytes each, both ends\n", s.PeerBytes)
	s.DocumentBytes, s.ChangeMicroseconds = measureDocuments()
	fmt.Fprintf(out, "# documents: %.0f bytes each with 3 servers; a change costs %.3f us a server\n", s.DocumentBytes, s.ChangeMicroseconds)
	return s, nil
}

// fitTraffic measures queries in fleets of several sizes and fits the costs per
// query, sub-request and message to the results.
func (s *Slopes) fitTraffic(out io.Writer) error {
	var rows [][]float64
	var costs []float64
	for _, sh := range []testFleetSize{{vms: 1, servers: 20}, {vms: 1, servers: 210}, {vms: 2, servers: 20}, {vms: 2, servers: 210}, {vms: 6, servers: 20}, {vms: 6, servers: 210}} {
		t, err := measureTraffic(sh)
		if err != nil {
			return err
		}
		shards := float64(t.subRequests) / float64(t.queries)
		fmt.Fprintf(out, "# traffic: %d VMs, %.0f shards, %.1f messages a query: %.0f us CPU a query, %.2f us a sub-request (%d queries)\n",
			sh.vms, shards, t.messages, t.cpuPerQuery(), t.cpuPerQuery()/shards, t.queries)
		rows = append(rows, []float64{1, shards, t.messages})
		costs = append(costs, t.cpuPerQuery())
	}
	x := leastSquares(rows, costs)
	s.QueryMicroseconds, s.SubRequestMicroseconds, s.BatchMicroseconds = max(0, x[0]), max(0, x[1]), max(0, x[2])
	return nil
}

// fitIdle measures idle fleets of several sizes and fits the costs per VM,
// heartbeat and backend server to the results.
func (s *Slopes) fitIdle(out io.Writer) error {
	var cpuRows [][]float64
	var cpus []float64
	var bytes, beats float64
	for _, sh := range []testFleetSize{{vms: 3, servers: 30}, {vms: 3, servers: 300}, {vms: 9, servers: 90}, {vms: 15, servers: 100}} {
		i, err := measureIdle(sh)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "# idle: %d VMs, %d servers: %.0f us CPU, %.0f bytes and %.1f beats a VM and second\n", sh.vms, sh.servers, i.cpu, i.bytes, i.beats)
		cpuRows = append(cpuRows, []float64{1, i.beats, float64(sh.servers)})
		cpus = append(cpus, i.cpu)
		bytes += i.bytes
		beats += i.beats
	}
	x := leastSquares(cpuRows, cpus)
	s.IdleMicroseconds, s.BeatMicroseconds, s.ServerMicroseconds = max(0, x[0]), max(0, x[1]), max(0, x[2])
	s.BeatBytes = bytes / 2 / beats
	return nil
}
