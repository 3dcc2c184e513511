package shuntcall

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mulberryshunt.example/mulberryshunt/shuntbalance"
	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntguard"
	"mulberryshunt.example/mulberryshunt/shuntroute"
	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

// aloneFleet is a fleet of a single VM.
type aloneFleet struct{}

func (aloneFleet) Share() float64                                   { return 1 }
func (aloneFleet) IsResponsibleFor(string) bool                     { return true }
func (aloneFleet) Delegates() []Delegate                            { return nil }
func (aloneFleet) Helpers() []Delegate                              { return nil }
func (aloneFleet) OthersLostLinks() bool                            { return false }
func (aloneFleet) InCharge(uint64, []string) (Delegate, bool, bool) { return Delegate{}, true, true }

// BenchmarkScatter measures a query to 270 shards over loopback TCP, from the
// coordinator to the sockets and back. Divide by 270 for the cost of an attempt; a
// third of it is the fake server's.
func BenchmarkScatter(b *testing.B) {
	const shards, replicas = 270, 3
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var group shuntgroup.Group
	group.Go(func() { serveParts(l, &group) })
	route := &shuntroute.Route{Name: "q", Idempotent: true, MaxAttempts: 3, Timeout: 5 * time.Second, LatencyGoal: 5 * time.Second, MinCoverage: 0.95, TopRecords: 20}
	config := shuntroute.TableConfig{Version: 1}
	var servers []shuntroute.Server
	for i := range shards {
		name := fmt.Sprintf("shard%03d", i)
		route.Shards = append(route.Shards, name)
		config.Services = append(config.Services, shuntroute.Service{Name: name, MaxConns: 10})
		for r := range replicas {
			servers = append(servers, shuntroute.Server{ID: fmt.Sprintf("i-%08x%02x", i, r), Service: name, Address: l.Addr().String(), Slots: 3, Region: []string{"here", "there", "far"}[r]})
		}
	}
	table := shuntroute.NewTable(config)
	view := shuntroute.NewView(table, 1, servers, nil)
	headers := shuntupstream.Headers{RequestID: "Request-Identity", Deadline: "Remaining-Ms", Instance: "Instance-Wanted", NotRun: "Not-Run", Signature: "Signature"}
	c := New(Config{
		Pool:             shuntupstream.NewPool(shuntupstream.PoolConfig{Headers: headers, Group: &group}),
		Balancer:         shuntbalance.NewBalancer(shuntbalance.BalancerConfig{Region: "here"}),
		Self:             Delegate{Address: "self", Region: "here", Zone: "here-a", Cores: 1},
		DelegatePool:     shuntupstream.NewPool(shuntupstream.PoolConfig{Headers: headers, Group: &group}),
		DelegateBalancer: shuntbalance.NewBalancer(shuntbalance.BalancerConfig{Region: "here"}),
		Budget:           shuntbalance.NewRetryBudget(shuntbalance.RetryBudgetConfig{Ratio: 0.2, Slack: 50, Window: 10 * time.Second, Share: aloneFleet{}.Share}),
		RateLimiter:      shuntbalance.NewRateLimiter(shuntbalance.RateLimiterConfig{Share: aloneFleet{}.Share}),
		ColdLimiter:      shuntbalance.NewColdLimiter(), Throttle: shuntbalance.NewThrottle(), Notices: shuntbalance.NewNotices(shuntbalance.NoticesConfig{}), Fleet: aloneFleet{}, Group: &group,
		View: func() *shuntroute.View { return view }, ColdRate: func(shuntroute.Service) float64 { return 5 }, Headers: headers,
		Metrics: NewMetrics(metrics.NewSet()), Guard: shuntguard.New(shuntguard.Config{}), CrashDetector: shuntguard.NewCrashDetector(),
	})
	query := func() {
		q := Query{Route: route, Table: table, Start: time.Now(), Request: shuntupstream.Request{
			Method: http.MethodGet, Target: "/q/1", Host: "h.example", ID: "9c41d07be2a35f68", Header: http.Header{"Accept": {"*/*"}}, Deadline: time.Now().Add(5 * time.Second),
		}}
		if a := c.Scatter(context.Background(), q); a.Status != Served || a.Missing > 0 {
			b.Fatalf("%v, %d missing: %s", a.Status, a.Missing, a.Reason)
		}
	}
	query()
	b.ReportAllocs()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for b.Loop() {
		query()
	}
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(b.N)/shards, "allocs/attempt")
	_ = l.Close()
	c.config.Pool.CloseExpired(time.Now().Add(time.Hour))
	group.Close()
}

// serveParts answers requests with a part of the records and its signature.
func serveParts(l net.Listener, group *shuntgroup.Group) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		group.Go(func() { servePartsOn(c) })
	}
}

func servePartsOn(c net.Conn) {
	defer func() { _ = c.Close() }()
	body := bytes.Repeat([]byte("0123456789abcdef"), 25)
	r := bufio.NewReader(c)
	var out []byte
	for n := 0; ; n++ {
		id, err := readRequestID(r)
		if err != nil {
			return
		}
		out = fmt.Appendf(out[:0], "HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nRequest-Identity: %s\r\nSignature: %p.%x\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", id, r, n, len(body), body)
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}

// readRequestID reads the head of a request and returns its identity.
func readRequestID(r *bufio.Reader) (string, error) {
	id := ""
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return "", err
		}
		if v, ok := bytes.CutPrefix(line, []byte("Request-Identity: ")); ok {
			id = string(bytes.TrimSpace(v))
		}
		if len(line) == len("\r\n") {
			return id, nil
		}
	}
}
