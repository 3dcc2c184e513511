package shuntrouter

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mulberryshunt.example/mulberryshunt/shuntcall"
	"mulberryshunt.example/mulberryshunt/shuntcatalog"
	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntroute"
	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

var testHeaders = Headers{
	Upstream:        shuntupstream.Headers{RequestID: "Id", Deadline: "Left", Instance: "For", NotRun: "Not-Run", Signature: "Signed"},
	ShardSignatures: "Parts", MissingShards: "Missing",
}

const (
	testBodyBytes   = 300 << 10
	testMemoryBytes = 64 << 20
)

// testSource always returns the same state. Without a state it stands for a
// platform that is down.
type testSource struct {
	state atomic.Pointer[shuntcatalog.State]
}

func (s *testSource) List(context.Context) (shuntcatalog.State, error) {
	if p := s.state.Load(); p != nil {
		return *p, nil
	}
	return shuntcatalog.State{}, io.ErrUnexpectedEOF
}

func (s *testSource) Watch(ctx context.Context, after int64, _ time.Duration) (shuntcatalog.State, error) {
	<-ctx.Done()
	return shuntcatalog.State{Revision: after}, ctx.Err()
}

// testDecoder decodes servers from JSON, and the record with key table to the
// table.
type testDecoder struct{ table *shuntroute.Table }

func (d testDecoder) Decode(r shuntcatalog.Record, _ time.Time) (shuntcatalog.DecodedRecord, error) {
	if r.Key == "table" {
		return shuntcatalog.DecodedRecord{Table: d.table}, nil
	}
	var s shuntroute.Server
	err := json.Unmarshal(r.Value, &s)
	return shuntcatalog.DecodedRecord{Server: &s}, err
}

// testRouter is a router on the loopback interface with one server for each
// service.
type testRouter struct {
	*httptest.Server
	router *Router
	source *testSource
	// lastRequest is the last request that reached a server.
	lastRequest atomic.Pointer[http.Request]
}

// newTestRouter starts a router whose platform is up or down, and waits until it
// knows the servers.
func newTestRouter(t *testing.T, reachable bool) *testRouter {
	t.Helper()
	tr := &testRouter{source: &testSource{}}
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		tr.lastRequest.Store(r)
		h := w.Header()
		h.Set("Id", r.Header.Get("Id"))
		h.Set("Signed", r.Header.Get("For"))
		h.Set("Kept", "yes")
		h["Content-Type"] = nil
		if strings.HasSuffix(r.URL.Path, "/slow") {
			select {
			case <-time.After(10 * time.Second):
			case <-r.Context().Done():
				return
			}
		}
		if _, code, ok := strings.Cut(r.URL.Path, "/status"); ok {
			sendStatus(w, r, code)
			return
		}
		if r.URL.Path == "/one/error" {
			w.WriteHeader(http.StatusTeapot)
		}
		if r.URL.Path == "/all/fails" && r.Header.Get("For") == "i-b" {
			w.WriteHeader(http.StatusInternalServerError)
		}
		_, _ = fmt.Fprintf(w, "%-16s", r.Header.Get("For")+string(body))
	}))
	t.Cleanup(backend.Close)
	table := shuntroute.NewTable(shuntroute.TableConfig{
		Version: 1, Limits: shuntroute.Limits{BodyBytes: testBodyBytes, HeaderBytes: 1000},
		Services: []shuntroute.Service{{Name: "a", MaxConns: 10}, {Name: "b", MaxConns: 10}},
		Routes: []shuntroute.Route{
			{Name: "one", Host: "h", Prefix: "/one/", LatencyGoal: time.Second, Timeout: 5 * time.Second, MaxAttempts: 2, WeightedServices: []shuntroute.WeightedService{{Service: "a", Weight: 1}}},
			{Name: "safe", Host: "h", Prefix: "/safe/", LatencyGoal: 100 * time.Millisecond, Timeout: 5 * time.Second, MaxAttempts: 2, Idempotent: true, WeightedServices: []shuntroute.WeightedService{{Service: "a", Weight: 1}}},
			{Name: "all", Host: "h", Prefix: "/all/", LatencyGoal: time.Second, Timeout: 5 * time.Second, MaxAttempts: 2, Idempotent: true, Shards: []string{"a", "b", "gone"}, TopRecords: 1, MinCoverage: 0.5},
			{Name: "none", Host: "h", Prefix: "/none/", LatencyGoal: time.Second, Timeout: 5 * time.Second, MaxAttempts: 2, WeightedServices: []shuntroute.WeightedService{{Service: "gone", Weight: 1}}},
		},
	})
	state := shuntcatalog.State{Revision: 5, Records: []shuntcatalog.Record{{Key: "table", Revision: 1}}}
	for _, s := range []string{"a", "b"} {
		b, err := json.Marshal(shuntroute.Server{ID: "i-" + s, Service: s, Address: strings.TrimPrefix(backend.URL, "http://"), Slots: 2, Region: "r", Zone: "z"})
		if err != nil {
			t.Fatal(err)
		}
		state.Records = append(state.Records, shuntcatalog.Record{Key: s, Revision: 2, Value: b})
	}
	if reachable {
		tr.source.state.Store(&state)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group shuntgroup.Group
	tr.router = New(Config{
		Settings: Settings{
			Name: "vm", Zone: "z", Region: "r", PeerAddress: netip.MustParseAddrPort(unusedAddress(t)), Capacity: 400, RegionByZone: map[string]string{"z": "r"},
			MemoryBytes: testMemoryBytes, RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second, ColdFactor: 1, ColdSlack: 5, DelistedGrace: time.Second, WatchWait: time.Second,
		},
		Headers: testHeaders, Source: tr.source, Decoder: testDecoder{table}, Seeds: func() []netip.AddrPort { return nil }, Group: &group, Metrics: metrics.NewSet(),
	})
	if err := tr.router.Start(ctx); err != nil {
		t.Fatal(err)
	}
	tr.Server = httptest.NewServer(tr.router)
	t.Cleanup(func() {
		tr.Server.Close()
		cancel()
		group.Close()
	})
	for range 500 {
		if !reachable || (tr.router.Ready() && len(tr.router.follower.View().Servers("b")) == 1) {
			return tr
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the router has not learned of the servers in time")
	return nil
}

// sendStatus answers with a status line that net/http would not send.
func sendStatus(w http.ResponseWriter, r *http.Request, code string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	fmt.Fprintf(buffer, "HTTP/1.1 %s Odd\r\nId: %s\r\nSigned: i-a\r\nContent-Length: 4\r\n\r\nbody", code, r.Header.Get("Id"))
	_ = buffer.Flush()
}

// unusedAddress returns an address whose port was free when checked.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// do sends a request to the router and returns the response and its body.
func (tr *testRouter) do(t *testing.T, method, path, body string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, tr.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Id", "1")
	req.Header.Set("Left", "2000")
	req.Header.Set("Own", "passed on")
	req.Header.Set("Connection", "Hop")
	req.Header.Set("Hop", "not passed on")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(b)
}

// TestServeHTTP checks the replies to callers and the headers that are forwarded
// in both directions.
func TestServeHTTP(t *testing.T) {
	cases := map[string]struct {
		method, path, body string
		code               int
		want               string
	}{
		"forwarded":            {http.MethodPost, "/one/x?q=1", "!", 200, fmt.Sprintf("%-16s", "i-a!")},
		"a server's own error": {http.MethodGet, "/one/error", "", 418, fmt.Sprintf("%-16s", "i-a")},
		"all shards":           {http.MethodGet, "/all/x", "", 200, fmt.Sprintf("%-16s", "i-b")},
		"no route":             {http.MethodGet, "/other/", "", 404, ""},
		"no server":            {http.MethodGet, "/none/x", "", 503, ""},
		"a body too long":      {http.MethodPost, "/one/x", strings.Repeat("x", testBodyBytes+1), 413, ""},
	}
	tr := newTestRouter(t, true)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			resp, body := tr.do(t, c.method, c.path, c.body)
			if resp.StatusCode != c.code || body != c.want {
				t.Errorf("got %d %q; want %d %q", resp.StatusCode, body, c.code, c.want)
			}
			if (c.code == 503) != (resp.Header.Get("Retry-After") != "") {
				t.Errorf("Retry-After is %q", resp.Header.Get("Retry-After"))
			}
		})
	}
	resp, _ := tr.do(t, http.MethodPost, "/one/x?q=%2F", "body")
	got := tr.lastRequest.Load()
	if got.Method != http.MethodPost || got.RequestURI != "/one/x?q=%2F" || got.Host != "h" || got.Header.Get("Own") != "passed on" || got.Header.Get("Hop") != "" {
		t.Errorf("the server got %s %s %s %v", got.Method, got.RequestURI, got.Host, got.Header)
	}
	if resp.Header.Get("Content-Type") != "" || resp.Header.Get("Kept") != "yes" || resp.Header.Get("Signed") != "i-a" {
		t.Errorf("the caller got %v", resp.Header)
	}
	if resp, _ := tr.do(t, http.MethodHead, "/one/x", ""); resp.StatusCode != http.StatusOK || resp.ContentLength != 16 {
		t.Errorf("HEAD: got %d, a length of %d", resp.StatusCode, resp.ContentLength)
	}
	resp, _ = tr.do(t, http.MethodGet, "/all/x", "")
	if resp.Header.Get("Parts") == "" || resp.Header.Get("Missing") != "1" || resp.Header.Get("Signed") != "" {
		t.Errorf("the caller got %v", resp.Header)
	}
}

// TestLeaving checks that a VM that is shutting down asks callers to close their
// connections, is not ready and is not listed as an entry, but still serves
// requests.
func TestLeaving(t *testing.T) {
	tr := newTestRouter(t, true)
	if got := tr.router.EntryAddresses("h", "r"); len(got) != 1 {
		t.Fatalf("entries %v", got)
	}
	tr.router.Leave(time.Minute)
	if tr.router.Ready() {
		t.Error("the VM is still ready")
	}
	if resp, _ := tr.do(t, http.MethodGet, "/one/x", ""); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("got %d, close %v", resp.StatusCode, resp.Close)
	}
	for range 200 {
		if len(tr.router.EntryAddresses("h", "r")) == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the VM is still listed as an entry")
}

// TestRequestsAtTheEnd checks that a VM that is shutting down answers every request before
// it ends: those that may not be over by then are refused while another VM can still serve
// them, and those under way get a final answer.
func TestRequestsAtTheEnd(t *testing.T) {
	const grace, late = 1500 * time.Millisecond, 700 * time.Millisecond
	cases := map[string]struct {
		method, path string
		// after is when the request is sent, from the begin of the shutdown.
		after time.Duration
		codes []int
	}{
		"under way, once":             {http.MethodPost, "/one/slow", -200 * time.Millisecond, []int{http.StatusGatewayTimeout}},
		"under way, repeatable":       {http.MethodGet, "/safe/slow", -200 * time.Millisecond, []int{http.StatusGatewayTimeout}},
		"under way, all shards":       {http.MethodGet, "/all/slow", -200 * time.Millisecond, []int{http.StatusGatewayTimeout}},
		"late, once":                  {http.MethodPost, "/one/slow", late, []int{http.StatusServiceUnavailable}},
		"late, repeatable":            {http.MethodGet, "/safe/slow", late, []int{http.StatusGatewayTimeout}},
		"late, repeatable and fast":   {http.MethodGet, "/safe/x", late, []int{http.StatusOK}},
		"too late for anything":       {http.MethodGet, "/safe/x", grace - 150*time.Millisecond, []int{http.StatusServiceUnavailable}},
		"late, all shards, goal far":  {http.MethodGet, "/all/x", late, []int{http.StatusServiceUnavailable}},
		"early, all shards, and fast": {http.MethodGet, "/all/x", 0, []int{http.StatusOK, http.StatusServiceUnavailable}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tr := newTestRouter(t, true)
			begin := time.Now().Add(max(0, -c.after))
			leave := time.AfterFunc(time.Until(begin), func() { tr.router.Leave(grace) })
			defer leave.Stop()
			time.Sleep(time.Until(begin.Add(c.after)))
			resp, _ := tr.do(t, c.method, c.path, "")
			if left := grace - time.Since(begin); left < 0 {
				t.Errorf("answered %v after the end", -left)
			}
			if !slices.Contains(c.codes, resp.StatusCode) {
				t.Errorf("got %d; want %v", resp.StatusCode, c.codes)
			}
			if resp.StatusCode == http.StatusServiceUnavailable && (resp.Header.Get("Retry-After") == "" || !resp.Close) {
				t.Errorf("refused with %v, close %v", resp.Header, resp.Close)
			}
		})
	}
}

// TestNoTable checks that a VM without a routing table replies 503 rather than
// 404.
func TestNoTable(t *testing.T) {
	tr := newTestRouter(t, false)
	resp, _ := tr.do(t, http.MethodGet, "/one/x", "")
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || tr.router.Ready() {
		t.Errorf("got %d %v, ready %v", resp.StatusCode, resp.Header, tr.router.Ready())
	}
}

// TestTrafficSplit checks that the services of a route get requests by their
// weights, to within 3 of each 100 requests.
func TestTrafficSplit(t *testing.T) {
	route := shuntroute.Route{Name: "r", WeightedServices: []shuntroute.WeightedService{{Service: "a", Weight: 0.7}, {Service: "b", Weight: 0.3}}}
	var s splitCounters
	for range 10 {
		n := 0
		for range 100 {
			if route.PickService(s.nextPoint(route.Name)) == "a" {
				n++
			}
		}
		if n < 67 || n > 73 {
			t.Errorf("%d of 100 requests go to the service with weight 0.7", n)
		}
	}
}

// TestDeadline checks that a caller's deadline runs from the header of its request, and the
// route's timeout from its end.
func TestDeadline(t *testing.T) {
	const taken = 3 * time.Second
	cases := map[string]struct {
		deadline string
		timeout  time.Duration
		// want is measured from the arrival of the header.
		want time.Duration
	}{
		"the caller's is earlier":  {"1500", time.Second, 1500 * time.Millisecond},
		"the route's is earlier":   {"9000", time.Second, taken + time.Second},
		"no caller's":              {"", time.Second, taken + time.Second},
		"a caller's that is wrong": {"soon", time.Second, taken + time.Second},
		"neither":                  {"", 0, taken + defaultDeadline},
	}
	r := &Router{config: Config{Headers: testHeaders}}
	for name, c := range cases {
		in := &http.Request{Header: http.Header{"Left": {c.deadline}}}
		arrived := time.Now()
		got := r.deadline(in, &shuntroute.Route{Timeout: c.timeout}, arrived, arrived.Add(taken))
		if got.Sub(arrived) != c.want {
			t.Errorf("%s: %v; want %v", name, got.Sub(arrived), c.want)
		}
	}
}

// TestOddStatus checks that an answer whose status is none in HTTP is not passed on, on any way
// to a server, and that the request counts as one that may have run.
func TestOddStatus(t *testing.T) {
	tr := newTestRouter(t, true)
	for _, code := range []string{"000", "007", "099", "600", "999", "0", "20", "2000", "-20", "+20", "abc"} {
		for _, path := range []string{"/safe/", "/one/", "/all/"} {
			resp, body := tr.do(t, http.MethodGet, path+"status"+code, "")
			if resp.StatusCode != http.StatusBadGateway || body != "" || resp.Header.Get("Signed") != "" {
				t.Errorf("%s, status %s: the caller got %d, %q, %v; want 502", path, code, resp.StatusCode, body, resp.Header)
			}
		}
	}
}

// TestOddStatusOfVM checks the same of answers that another VM gives to what this one relays or
// delegates.
func TestOddStatusOfVM(t *testing.T) {
	tr := newTestRouter(t, true)
	vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { sendStatus(w, r, "000") }))
	t.Cleanup(vm.Close)
	table := tr.router.follower.View().Table
	route, _ := table.Match("h", "/safe/x")
	q := request{id: "1", start: time.Now(), deadline: time.Now().Add(time.Second), route: route, table: table}
	q.upstream = shuntupstream.Request{Method: http.MethodGet, Target: "/safe/x", Host: "h", Header: http.Header{}, ID: "1", Deadline: q.deadline}
	w := httptest.NewRecorder()
	relayed := tr.router.relay(t.Context(), w, q, relayLinks, []shuntcall.Delegate{{Address: vm.Listener.Addr().String()}})
	if !relayed || w.Code != http.StatusBadGateway || w.Body.Len() > 0 {
		t.Errorf("relayed %v: the caller got %d, %q; want 502", relayed, w.Code, w.Body)
	}
	o := tr.router.delegatePool.Do(t.Context(), shuntupstream.Server{ID: "vm", Address: vm.Listener.Addr().String(), MaxConns: 1}, true, q.upstream)
	if o.Status != shuntupstream.Broken {
		t.Errorf("delegated: %v; want %v", o.Status, shuntupstream.Broken)
	}
}
