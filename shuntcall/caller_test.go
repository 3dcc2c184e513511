package shuntcall

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"mulberryshunt.example/mulberryshunt/shuntbalance"
	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntguard"
	"mulberryshunt.example/mulberryshunt/shuntroute"
	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

var testHeaders = shuntupstream.Headers{RequestID: "Id", Deadline: "Left", Instance: "For", NotRun: "Not-Run", Signature: "Signed", RateLimit: "Rate", Leaving: "Leaving"}

// testDrainTime is how long a leaving server may get requests.
const testDrainTime = 3 * time.Second

// behavior configures how a fake server responds.
type behavior struct {
	after time.Duration
	// unreachable servers refuse connections; connectHangs servers never complete
	// one.
	unreachable, connectHangs bool
	// panics makes connecting to the server panic.
	panics bool
	// responseHangs servers never respond; broken servers close the connection.
	responseHangs, broken bool
	// declines is the number of requests that the server declines before it serves
	// others; -1 means all.
	declines  int
	code      int
	signature string
	unsigned  bool
	region    string
	zone      string
	cold      bool
	// limit is the rate limit that the server names; 0 if it names none.
	limit float64
	// maxShards is the maximum number of shards for which a VM answers; 0 if this is
	// not a VM.
	maxShards int
	// crashesSilently servers that crash leave their connections open.
	crashesSilently bool
}

// testCluster is a set of fake servers in virtual time. Each service has servers by
// name; a server's address is service/name.
type testCluster struct {
	behaviors   map[string]behavior
	responsible bool
	delegates   []Delegate
	// inCharge is the VM in charge of suspects; this VM if it has no address.
	inCharge Delegate
	// othersLostLinks is whether other VMs have lost their links.
	othersLostLinks bool
	share           float64

	mu       sync.Mutex
	arrivals map[string]int
	// arrivalTimes holds when requests reached each server.
	arrivalTimes map[string][]time.Time
	// crashes counts the crashes of servers, and downUntil holds when they are back.
	crashes   int
	downUntil map[string]time.Time
	// cut is true while this VM has lost its links to all servers, and silent while
	// nothing comes back from them.
	silent bool
	cut    bool
	group  shuntgroup.Group
	caller *Caller
	view   *shuntroute.View
	table  *shuntroute.Table
}

func (w *testCluster) Share() float64               { return w.share }
func (w *testCluster) IsResponsibleFor(string) bool { return w.responsible }
func (w *testCluster) Delegates() []Delegate        { return w.delegates }
func (w *testCluster) Helpers() []Delegate          { return w.delegates }
func (w *testCluster) OthersLostLinks() bool        { return w.othersLostLinks }
func (w *testCluster) InCharge(uint64, []string) (Delegate, bool, bool) {
	return w.inCharge, w.inCharge.Address == "", true
}

// run creates a caller for the services and runs f in virtual time.
func run(t *testing.T, services map[string]map[string]behavior, f func(t *testing.T, w *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		w := &testCluster{behaviors: map[string]behavior{}, arrivals: map[string]int{}, arrivalTimes: map[string][]time.Time{}, downUntil: map[string]time.Time{}, share: 1}
		var servers []shuntroute.Server
		config := shuntroute.TableConfig{Version: 1}
		for service, byName := range services {
			config.Services = append(config.Services, shuntroute.Service{Name: service, MaxConns: 10})
			for name, b := range byName {
				address := service + "/" + name
				w.behaviors[address] = b
				s := shuntroute.Server{ID: address, Service: service, Address: address, Slots: 2, Region: "here", Zone: b.zone}
				if b.region != "" {
					s.Region = b.region
				}
				if b.cold {
					s.ColdUntil = time.Now().Add(time.Hour)
				}
				servers = append(servers, s)
			}
		}
		w.table = shuntroute.NewTable(config)
		w.view = shuntroute.NewView(w.table, 1, servers, nil)
		w.caller = w.newCaller(w)
		f(t, w)
		time.Sleep(time.Minute)
		w.group.Close()
	})
}

// newCaller returns the caller of one VM.
func (w *testCluster) newCaller(f Fleet) *Caller {
	links := shuntbalance.NewLinks()
	return New(Config{
		Pool: shuntupstream.NewPool(shuntupstream.PoolConfig{Headers: testHeaders, Dial: w.dial, Group: &w.group,
			OnDial: func(s shuntupstream.Server, begun time.Time, err error) { links.Dialed(s.ID, begun, err == nil) }}),
		Links:            links,
		Balancer:         shuntbalance.NewBalancer(shuntbalance.BalancerConfig{Region: "here"}),
		Self:             Delegate{Address: "self", Region: "here", Zone: "here-a", Cores: 1},
		DelegatePool:     shuntupstream.NewPool(shuntupstream.PoolConfig{Headers: testHeaders, Dial: w.dial, Group: &w.group}),
		DelegateBalancer: shuntbalance.NewBalancer(shuntbalance.BalancerConfig{Region: "here"}),
		Budget:           shuntbalance.NewRetryBudget(shuntbalance.RetryBudgetConfig{Ratio: 0.2, Slack: 50, Window: 10 * time.Second, Share: f.Share}),
		ColdLimiter:      shuntbalance.NewColdLimiter(),
		RateLimiter:      shuntbalance.NewRateLimiter(shuntbalance.RateLimiterConfig{Share: f.Share}),
		Throttle:         shuntbalance.NewThrottle(),
		Notices:          shuntbalance.NewNotices(shuntbalance.NoticesConfig{DrainTime: testDrainTime}),
		Fleet:            f,
		Group:            &w.group,
		View:             func() *shuntroute.View { return w.view },
		ColdRate:         func(shuntroute.Service) float64 { return 5 },
		Headers:          testHeaders,
		Metrics:          NewMetrics(metrics.NewSet()),
		Guard:            shuntguard.New(shuntguard.Config{}),
		CrashDetector:    shuntguard.NewCrashDetector(),
	})
}

func (w *testCluster) dial(ctx context.Context, address string) (net.Conn, error) {
	b := w.behaviors[address]
	down, cut := w.down(address)
	switch {
	case b.panics:
		panic("broken")
	case b.unreachable, cut, down && !b.crashesSilently:
		return nil, errors.New("refused")
	case b.connectHangs, down, w.isSilent():
		<-ctx.Done()
		return nil, ctx.Err()
	}
	ours, theirs := net.Pipe()
	w.group.Go(func() { w.serve(theirs, address) })
	w.group.Go(func() {
		time.Sleep(50 * time.Second)
		_ = theirs.Close()
	})
	return ours, nil
}

// crashTime is how long a server that has crashed is down, and crashTarget the target of
// requests that crash servers.
const (
	crashTime   = 2 * time.Second
	crashTarget = "/crash"
)

// down reports whether the server has crashed and is not back, and whether this VM has
// lost its links.
func (w *testCluster) down(address string) (down, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.downUntil[address]), w.cut
}

// setCut cuts or mends this VM's links to all servers.
func (w *testCluster) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

// setSilent makes this VM's connections to all servers hang, or mends its links.
func (w *testCluster) setSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

func (w *testCluster) isSilent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.silent
}

// crash crashes a server that begins to run a request.
func (w *testCluster) crash(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashes++
	w.downUntil[address] = time.Now().Add(crashTime)
}

func (w *testCluster) serve(c net.Conn, address string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		w.mu.Lock()
		w.arrivals[address]++
		w.arrivalTimes[address] = append(w.arrivalTimes[address], time.Now())
		n := w.arrivals[address]
		w.mu.Unlock()
		if !w.answer(c, req, address, n) {
			return
		}
	}
}

func (w *testCluster) answer(c net.Conn, req *http.Request, address string, n int) bool {
	b := w.behaviors[address]
	if down, cut := w.down(address); cut || (down && !b.crashesSilently) {
		return false
	} else if req.URL.Path == crashTarget && !down {
		w.crash(address)
		if !b.crashesSilently {
			return false
		}
	} else if down {
		b.responseHangs = true
	}
	if w.isSilent() || b.responseHangs || b.crashesSilently && req.URL.Path == crashTarget {
		time.Sleep(40 * time.Second)
		return false
	}
	if b.declines < 0 || n <= b.declines {
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 No\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
		return err == nil
	}
	time.Sleep(b.after)
	if _, cut := w.down(address); cut || b.broken {
		return false
	}
	code, signature := b.code, b.signature
	if code == 0 {
		code = http.StatusOK
	}
	if signature == "" {
		signature = address
	}
	header := "Signed: " + signature + "\r\n"
	if b.unsigned {
		header = ""
	}
	if b.limit > 0 {
		header += fmt.Sprintf("Rate: %v\r\n", b.limit)
	}
	if b.maxShards > 0 {
		header = delegateHeaders(req, b.maxShards)
	}
	body := fmt.Sprintf("%-16.16s", address)
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", code, req.Header.Get("Id"), header, len(body), body)
	return err == nil
}

func (w *testCluster) total() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, v := range w.arrivals {
		n += v
	}
	return n
}

const (
	goal     = 120 * time.Millisecond
	deadline = 800 * time.Millisecond
	fast     = 10 * time.Millisecond
)

// TestForward checks how a request to one service ends and how often it reaches
// servers.
func TestForward(t *testing.T) {
	two := func(a, b behavior) map[string]behavior { return map[string]behavior{"a": a, "b": b} }
	cases := map[string]struct {
		servers       map[string]behavior
		notIdempotent bool
		attempts      int
		status        CallStatus
		code          int
		// arrivals is the maximum number of requests that may reach servers.
		arrivals    int
		within      time.Duration
		responsible bool
	}{
		"served":                                {servers: two(behavior{after: fast}, behavior{after: fast}), status: Served, code: 200, arrivals: 1, within: fast},
		"once: a broken one is not asked again": {servers: two(behavior{broken: true}, behavior{broken: true}), notIdempotent: true, status: Faulted, arrivals: 1, within: fast},
		"once: declined, then served":           {servers: two(behavior{declines: 1}, behavior{declines: 1}), notIdempotent: true, status: Served, code: 200, arrivals: 3, within: goal},
		"once: a mute one is not hedged":        {servers: two(behavior{responseHangs: true}, behavior{responseHangs: true}), notIdempotent: true, status: Expired, arrivals: 1, within: deadline},
		"once: refused connections":             {servers: two(behavior{unreachable: true}, behavior{unreachable: true}), notIdempotent: true, status: Refused, arrivals: 0, within: fast},
		"once: an error is passed on":           {servers: two(behavior{code: 500}, behavior{code: 500}), notIdempotent: true, status: Faulted, code: 500, arrivals: 1, within: fast},
		"broken, then served":                   {servers: two(behavior{broken: true, after: time.Millisecond}, behavior{after: fast, region: "there"}), status: Served, code: 200, arrivals: 2, within: goal},
		"mute, then hedged":                     {servers: two(behavior{responseHangs: true}, behavior{after: fast, region: "there"}), status: Served, code: 200, arrivals: 2, within: goal},
		"mute, one attempt allowed":             {servers: two(behavior{responseHangs: true}, behavior{responseHangs: true}), attempts: 1, status: Expired, arrivals: 1, within: deadline},
		"an answer without a signature":         {servers: two(behavior{unsigned: true}, behavior{unsigned: true}), status: Faulted, arrivals: 2, within: goal},
		"a server's refusal for good":           {servers: two(behavior{code: 404}, behavior{code: 404}), status: Faulted, code: 404, arrivals: 1, within: fast},
		"a failure that reads like a promise":   {servers: two(behavior{code: 503}, behavior{code: 503}), notIdempotent: true, status: Faulted, arrivals: 1, within: fast},
		"both fail":                             {servers: two(behavior{code: 500}, behavior{code: 500}), status: Faulted, code: 500, arrivals: 2, within: goal},
		"all decline":                           {servers: two(behavior{declines: -1}, behavior{declines: -1}), status: Refused, arrivals: maxRequestsSent, within: deadline},
		"dark: nothing was sent":                {servers: two(behavior{connectHangs: true}, behavior{connectHangs: true}), notIdempotent: true, status: Refused, arrivals: 0, within: 2 * deadline},
		"no server":                             {servers: nil, status: Refused, arrivals: 0, within: fast},
		"only in a region not allowed":          {servers: map[string]behavior{"a": {region: "elsewhere"}}, status: Refused, arrivals: 0, within: fast},
		"cold, another VM is in charge":         {servers: map[string]behavior{"a": {cold: true}}, status: Refused, arrivals: 0, within: fast},
		"cold, this VM is in charge":            {servers: map[string]behavior{"a": {cold: true}}, responsible: true, status: Served, code: 200, arrivals: 1, within: fast},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, map[string]map[string]behavior{"s": c.servers}, func(t *testing.T, w *testCluster) {
				w.responsible = c.responsible
				attempts := c.attempts
				if attempts == 0 {
					attempts = 2
				}
				route := &shuntroute.Route{Idempotent: !c.notIdempotent, LatencyGoal: goal, MaxAttempts: attempts, Regions: []string{"here", "there"}}
				start := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				service, _ := w.table.Service("s")
				res := w.caller.Forward(ctx, route, service, w.request(start), 1, false)
				took := time.Since(start)
				if res.Status != c.status || res.Reply.Code != c.code {
					t.Errorf("ended %v with %d (%s); want %v with %d", res.Status, res.Reply.Code, res.Reason, c.status, c.code)
				}
				time.Sleep(time.Second)
				if n := w.total(); n > c.arrivals {
					t.Errorf("%d requests reached servers; want at most %d", n, c.arrivals)
				}
				if took > c.within {
					t.Errorf("took %v; want at most %v", took, c.within)
				}
			})
		})
	}
}

func (w *testCluster) request(start time.Time) shuntupstream.Request {
	return shuntupstream.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, ID: "1", Deadline: start.Add(deadline)}
}

// TestScatter checks when a query over ten shards is answered, and how many shards
// are missing.
func TestScatter(t *testing.T) {
	const shards = 10
	slow := behavior{after: 300 * time.Millisecond}
	both := func(b behavior) map[string]behavior { return map[string]behavior{"a": b, "b": b} }
	cases := map[string]struct {
		// bad holds the servers of the first shards; the other shards are fast.
		bad     []map[string]behavior
		status  CallStatus
		missing int
		from    time.Duration
		to      time.Duration
	}{
		"all are in":                        {nil, Served, 0, 0, fast},
		"a stalled server is hedged":        {[]map[string]behavior{{"a": {responseHangs: true}, "b": {after: fast, region: "there"}}}, Served, 0, 0, goal - answerMargin},
		"a slow shard is left out":          {[]map[string]behavior{both(slow)}, Served, 1, goal - answerMargin, goal},
		"a dead shard does not delay":       {[]map[string]behavior{both(behavior{unreachable: true})}, Served, 1, 0, goal - answerMargin},
		"too many slow: when enough are in": {[]map[string]behavior{both(slow), both(slow), both(behavior{after: 500 * time.Millisecond})}, Served, 2, 300 * time.Millisecond, 350 * time.Millisecond},
		"too many dead":                     {[]map[string]behavior{both(behavior{unreachable: true}), both(behavior{unreachable: true}), both(behavior{unreachable: true})}, Faulted, shards, 0, fast},
		"too many mute":                     {[]map[string]behavior{both(behavior{responseHangs: true}), both(behavior{responseHangs: true}), both(behavior{responseHangs: true})}, Expired, 3, deadline, deadline},
		"another shard's signature":         {[]map[string]behavior{both(behavior{signature: "same"}), both(behavior{signature: "same"})}, Served, 1, 0, goal},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			services := map[string]map[string]behavior{}
			route := &shuntroute.Route{Idempotent: true, LatencyGoal: goal, MaxAttempts: 2, MinCoverage: 0.8, TopRecords: 3}
			for i := range shards {
				name := fmt.Sprintf("s%d", i)
				route.Shards = append(route.Shards, name)
				services[name] = both(behavior{after: fast})
				if i < len(c.bad) {
					services[name] = c.bad[i]
				}
			}
			run(t, services, func(t *testing.T, w *testCluster) {
				start := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				a := w.caller.Scatter(ctx, Query{Route: route, Table: w.table, Request: w.request(start), Start: start})
				took := time.Since(start)
				if a.Status != c.status || a.Missing != c.missing {
					t.Errorf("ended %v, %d missing (%s); want %v, %d", a.Status, a.Missing, a.Reason, c.status, c.missing)
				}
				if took < c.from || took > c.to {
					t.Errorf("took %v; want %v to %v", took, c.from, c.to)
				}
			})
		})
	}
}

// TestBurst checks that a burst of requests to a VM with few
// connections waits for free connections and is served within the latency goal.
func TestBurst(t *testing.T) {
	const requests = 16
	run(t, map[string]map[string]behavior{"s": {"a": {after: fast}, "b": {after: fast}}}, func(t *testing.T, w *testCluster) {
		w.share = 0.2 // one connection to each server
		route := &shuntroute.Route{Idempotent: true, LatencyGoal: goal, MaxAttempts: 2}
		service, _ := w.table.Service("s")
		start := time.Now()
		var g sync.WaitGroup
		for range requests {
			g.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				if res := w.caller.Forward(ctx, route, service, w.request(start), 1, false); res.Status != Served {
					t.Errorf("ended %v (%s)", res.Status, res.Reason)
				}
			})
		}
		g.Wait()
		if took := time.Since(start); took > goal {
			t.Errorf("took %v; want at most %v", took, goal)
		}
	})
}

// TestNoShardAnswers checks that a query is refused if no shard has run it.
func TestNoShardAnswers(t *testing.T) {
	run(t, map[string]map[string]behavior{"s": {"a": {unreachable: true}}}, func(t *testing.T, w *testCluster) {
		route := &shuntroute.Route{Idempotent: true, LatencyGoal: goal, MaxAttempts: 2, Shards: []string{"s", "unknown"}}
		a := w.caller.Scatter(t.Context(), Query{Route: route, Table: w.table, Request: w.request(time.Now()), Start: time.Now()})
		if a.Status != Refused || a.Missing != 2 {
			t.Errorf("got %+v", a)
		}
	})
}

// TestMergeTopRecords checks how the parts of an answer are merged.
func TestMergeTopRecords(t *testing.T) {
	record := func(s string) []byte { return fmt.Appendf(nil, "%-16s", s) }
	cases := map[string]struct {
		parts [][]byte
		top   int
		want  []byte
	}{
		"greatest first":   {[][]byte{append(record("a"), record("c")...), record("b")}, 2, append(record("c"), record("b")...)},
		"equal ones count": {[][]byte{record("a"), record("a")}, 2, append(record("a"), record("a")...)},
		"fewer than asked": {[][]byte{record("a")}, 5, record("a")},
		"a remainder":      {[][]byte{append(record("a"), "zzz"...)}, 5, record("a")},
		"nothing":          {nil, 5, nil},
		"bytes, not text":  {[][]byte{append([]byte{0xff}, make([]byte, 15)...), record("z")}, 1, append([]byte{0xff}, make([]byte, 15)...)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := MergeTopRecords(c.parts, c.top); !bytes.Equal(got, c.want) {
				t.Errorf("got %q; want %q", got, c.want)
			}
		})
	}
}

// TestKeepTopRecords checks that parts that are trimmed merge to the same answer.
func TestKeepTopRecords(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var parts, kept [][]byte
		top := random.IntN(50)
		for range 3 {
			part := make([]byte, random.IntN(3*minTrimmedBytes))
			for i := range part {
				part[i] = byte(random.IntN(2))
			}
			parts, kept = append(parts, part), append(kept, keepTopRecords(part, top))
			if n := len(kept[len(kept)-1]); n >= minTrimmedBytes {
				t.Fatalf("%d bytes kept for %d records", n, top)
			}
		}
		if !bytes.Equal(MergeTopRecords(parts, top), MergeTopRecords(kept, top)) {
			t.Fatalf("the %d greatest records differ", top)
		}
	}
}
