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

// Slopes are the measured costs. Times are in microseconds of one core, sizes
// in bytes.
type Slopes struct {
	// QueryMicroseconds, SubRequestMicroseconds and BatchMicroseconds add up
	// to the CPU of one query: entry, owner and backend protocol together.
	QueryMicroseconds      float64
	SubRequestMicroseconds float64
	BatchMicroseconds      float64
	// InFlightBytes is the memory of one sub-request in flight, both ends.
	InFlightBytes float64
	// BeatMicroseconds and BeatBytes are for one heartbeat with its reply, at
	// one end; BeatBytes counts both directions.
	BeatMicroseconds float64
	BeatBytes        float64
	// IdleMicroseconds is the CPU of one VM a second without peers, and
	// ServerMicroseconds what each server of its cell adds.
	IdleMicroseconds   float64
	ServerMicroseconds float64
	// PeerBytes is the memory of one open connection between VMs, at both ends.
	PeerBytes float64
	// DocumentBytes is the memory of one Service document with one server in
	// force, and ChangeMicroseconds the CPU of bringing one change into force
	// for each server of the configuration.
	DocumentBytes      float64
	ChangeMicroseconds float64
}

const (
	trafficTime  = 3 * time.Second
	warmupTime   = time.Second
	idleTime     = 5 * time.Second
	askers       = 16
	settleTime   = 500 * time.Millisecond
	measuredRows = 3
	rowText      = 60
)

// cpu returns the CPU time of this process so far.
func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func sampleRows() []byte {
	rows := make([]shuntquery.Row, measuredRows)
	for i := range rows {
		rows[i] = shuntquery.Row{Key: fmt.Sprintf("key-%d", i), Text: fmt.Sprintf("%0*d", rowText, i), Score: float64(i)}
	}
	return shuntquery.EncodeRows(rows)
}

// traffic is one measured run of queries.
type traffic struct {
	shape       shape
	queries     int
	subRequests int
	batches     float64
	cpu         time.Duration
}

func (t traffic) perQuery() float64 {
	return float64(t.cpu.Microseconds()) / float64(t.queries)
}

// runTraffic asks queries in a closed loop and counts CPU.
func runTraffic(s shape) (traffic, error) {
	w, err := newWorld(s, sampleRows())
	if err != nil {
		return traffic{}, err
	}
	defer w.close()
	w.ask(warmupTime)
	before := w.batches()
	began := cpu()
	n, sent := w.ask(trafficTime)
	t := traffic{shape: s, queries: n, subRequests: sent, cpu: cpu() - began}
	t.batches = (w.batches() - before) / float64(n)
	return t, nil
}

// ask asks for d and returns the numbers of queries and sub-requests.
func (w *world) ask(d time.Duration) (int, int) {
	var n, sent atomic.Int64
	var g sync.WaitGroup
	end := time.Now().Add(d)
	for i := range askers {
		g.Go(func() {
			f := w.daemons[i%len(w.daemons)].Frontend()
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

// batches returns the batches and deliveries sent between VMs so far.
func (w *world) batches() float64 {
	n := 0.0
	for _, d := range w.daemons {
		n += d.MessagesSent()
	}
	return n
}

// idle is one measured run without queries.
type idle struct {
	shape shape
	// cpu and bytes are for one VM and second.
	cpu   float64
	bytes float64
	beats float64
}

func runIdle(s shape) (idle, error) {
	w, err := newWorld(s, nil)
	if err != nil {
		return idle{}, err
	}
	defer w.close()
	time.Sleep(warmupTime)
	bytes, beats, began := w.bytes.Load(), w.beats(), cpu()
	time.Sleep(idleTime)
	vms, secs := float64(s.vms), idleTime.Seconds()
	return idle{
		shape: s,
		cpu:   float64((cpu() - began).Microseconds()) / vms / secs,
		// Each connection is counted at the end that dialled it and carries
		// traffic of two VMs.
		bytes: 2 * float64(w.bytes.Load()-bytes) / vms / secs,
		beats: (w.beats() - beats) / vms / secs,
	}, nil
}

func (w *world) beats() float64 {
	n := 0.0
	for _, d := range w.daemons {
		n += d.HeartbeatsSent()
	}
	return n
}

// heap returns the memory in use. What ended a moment ago is given the time to
// be let go.
func heap() float64 {
	time.Sleep(settleTime)
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// runInFlight returns the memory of one sub-request in flight: many queries
// are held at the responder.
func runInFlight() (float64, error) {
	w, err := newWorld(shape{vms: 2, servers: 50}, sampleRows())
	if err != nil {
		return 0, err
	}
	defer w.close()
	w.ask(warmupTime)
	w.responder.hold = make(chan struct{})
	before := heap()
	var g sync.WaitGroup
	const held = 50
	for i := range held {
		g.Go(func() {
			w.daemons[i%2].Frontend().Handle(context.Background(), workspace, fmt.Sprintf("held-%d", i), shuntentry.Request{Query: "find something", Idempotent: true}, 0)
		})
	}
	time.Sleep(warmupTime)
	n := 0
	for _, d := range w.daemons {
		n += d.Owner().InFlight()
	}
	used := heap() - before
	close(w.responder.hold)
	g.Wait()
	if n == 0 {
		return 0, fmt.Errorf("no sub-request was in flight")
	}
	return used / float64(n), nil
}

// runDocuments returns the memory of a Service document and the CPU of one
// change for each server.
func runDocuments() (bytes, micros float64) {
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
	before := heap()
	t := shuntconfig.NewTree().With(docs...)
	p := shuntfleet.NewPlacement(t)
	bytes = (heap() - before) / n
	runtime.KeepAlive(p)
	const changes = 20
	began := cpu()
	for i := range changes {
		d := docs[i]
		d.Version = 2
		t = t.With(d)
		p = shuntfleet.NewPlacement(t)
	}
	micros = float64((cpu() - began).Microseconds()) / changes / (3 * n)
	runtime.KeepAlive(p)
	return bytes, micros
}

// Measure measures the slopes on this machine. It tells its raw figures to out.
func Measure(out io.Writer) (Slopes, error) {
	var s Slopes
	if err := s.measureTraffic(out); err != nil {
		return s, err
	}
	if err := s.measureIdle(out); err != nil {
		return s, err
	}
	var err error
	if s.InFlightBytes, err = runInFlight(); err != nil {
		return s, err
	}
	fmt.Fprintf(out, "# in flight: %.0f bytes a sub-request\n", s.InFlightBytes)
	if s.PeerBytes, err = runLinks(); err != nil {
		return s, err
	}
	fmt.Fprintf(out, "# links: %.0f bytes each, both ends\n", s.PeerBytes)
	s.DocumentBytes, s.ChangeMicroseconds = runDocuments()
	fmt.Fprintf(out, "# documents: %.0f bytes each with 3 servers; a change costs %.3f us a server\n", s.DocumentBytes, s.ChangeMicroseconds)
	return s, nil
}

func (s *Slopes) measureTraffic(out io.Writer) error {
	var rows [][]float64
	var costs []float64
	for _, sh := range []shape{{vms: 1, servers: 20}, {vms: 1, servers: 210}, {vms: 2, servers: 20}, {vms: 2, servers: 210}, {vms: 6, servers: 20}, {vms: 6, servers: 210}} {
		t, err := runTraffic(sh)
		if err != nil {
			return err
		}
		shards := float64(t.subRequests) / float64(t.queries)
		fmt.Fprintf(out, "# traffic: %d VMs, %.0f shards, %.1f messages a query: %.0f us CPU a query, %.2f us a sub-request (%d queries)\n",
			sh.vms, shards, t.batches, t.perQuery(), t.perQuery()/shards, t.queries)
		rows = append(rows, []float64{1, shards, t.batches})
		costs = append(costs, t.perQuery())
	}
	x := leastSquares(rows, costs)
	s.QueryMicroseconds, s.SubRequestMicroseconds, s.BatchMicroseconds = max(0, x[0]), max(0, x[1]), max(0, x[2])
	return nil
}

func (s *Slopes) measureIdle(out io.Writer) error {
	var cpuRows [][]float64
	var cpus []float64
	var bytes, beats float64
	for _, sh := range []shape{{vms: 3, servers: 30}, {vms: 3, servers: 300}, {vms: 9, servers: 90}, {vms: 15, servers: 100}} {
		i, err := runIdle(sh)
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
