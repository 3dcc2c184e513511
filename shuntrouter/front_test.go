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
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mulberryshunt.example/mulberryshunt/shuntcatalog"
	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntroute"
	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

var testHeaders = Headers{
	Upstream:        shuntupstream.Headers{RequestID: "Id", Deadline: "Left", Instance: "For", NotRun: "Not-Run", Signature: "Signed"},
	ShardSignatures: "Parts", MissingShards: "Missing",
}

// testSource holds one state for good; empty ones are a platform that is down.
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

// testDecoder reads servers from JSON; every other record is the table.
type testDecoder struct{ table *shuntroute.Table }

func (d testDecoder) Decode(r shuntcatalog.Record, _ time.Time) (shuntcatalog.DecodedRecord, error) {
	if r.Key == "table" {
		return shuntcatalog.DecodedRecord{Table: d.table}, nil
	}
	var s shuntroute.Server
	err := json.Unmarshal(r.Value, &s)
	return shuntcatalog.DecodedRecord{Server: &s}, err
}

// front is a router on loopback with one server for each service.
type front struct {
	*httptest.Server
	router *Router
	source *testSource
	// got holds the last request that reached a server.
	got atomic.Pointer[http.Request]
}

func newFront(t *testing.T, known bool) *front {
	t.Helper()
	f := &front{source: &testSource{}}
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		f.got.Store(r)
		h := w.Header()
		h.Set("Id", r.Header.Get("Id"))
		h.Set("Signed", r.Header.Get("For"))
		h.Set("Kept", "yes")
		h["Content-Type"] = nil
		if r.URL.Path == "/one/error" {
			w.WriteHeader(http.StatusTeapot)
		}
		_, _ = fmt.Fprintf(w, "%-16s", r.Header.Get("For")+string(body))
	}))
	t.Cleanup(backend.Close)
	table := shuntroute.NewTable(shuntroute.TableConfig{
		Version: 1, Limits: shuntroute.Limits{BodyBytes: 100, HeaderBytes: 1000},
		Services: []shuntroute.Service{{Name: "a", MaxConns: 10}, {Name: "b", MaxConns: 10}},
		Routes: []shuntroute.Route{
			{Name: "one", Host: "h", Prefix: "/one/", LatencyGoal: time.Second, Timeout: 5 * time.Second, MaxAttempts: 2, WeightedServices: []shuntroute.WeightedService{{Service: "a", Weight: 1}}},
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
	if known {
		f.source.state.Store(&state)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group shuntgroup.Group
	f.router = New(Config{
		Settings: Settings{
			Name: "vm", Zone: "z", Region: "r", PeerAddress: netip.MustParseAddrPort(freeAddress(t)), Capacity: 400, RegionByZone: map[string]string{"z": "r"},
			RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second, ColdFactor: 1, ColdSlack: 5, LapseGrace: time.Second, WatchWait: time.Second,
		},
		Headers: testHeaders, Source: f.source, Decoder: testDecoder{table}, Seeds: func() []netip.AddrPort { return nil }, Group: &group, Metrics: metrics.NewSet(),
	})
	if err := f.router.Start(ctx); err != nil {
		t.Fatal(err)
	}
	f.Server = httptest.NewServer(f.router)
	t.Cleanup(func() {
		f.Server.Close()
		cancel()
		group.Close()
	})
	for range 500 {
		if !known || (f.router.Ready() && len(f.router.follower.View().Servers("b")) == 1) {
			return f
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the router does not learn of the servers")
	return nil
}

// freeAddress returns an address whose port was free a moment ago.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (f *front) ask(t *testing.T, method, path, body string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, f.URL+path, strings.NewReader(body))
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

// TestFront is what callers get.
func TestFront(t *testing.T) {
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
		"a body too long":      {http.MethodPost, "/one/x", strings.Repeat("x", 101), 413, ""},
	}
	f := newFront(t, true)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			resp, body := f.ask(t, c.method, c.path, c.body)
			if resp.StatusCode != c.code || body != c.want {
				t.Errorf("got %d %q; want %d %q", resp.StatusCode, body, c.code, c.want)
			}
			if (c.code == 503) != (resp.Header.Get("Retry-After") != "") {
				t.Errorf("Retry-After is %q", resp.Header.Get("Retry-After"))
			}
		})
	}
	resp, _ := f.ask(t, http.MethodPost, "/one/x?q=%2F", "body")
	got := f.got.Load()
	if got.Method != http.MethodPost || got.RequestURI != "/one/x?q=%2F" || got.Host != "h" || got.Header.Get("Own") != "passed on" || got.Header.Get("Hop") != "" {
		t.Errorf("the server got %s %s %s %v", got.Method, got.RequestURI, got.Host, got.Header)
	}
	if resp.Header.Get("Content-Type") != "" || resp.Header.Get("Kept") != "yes" || resp.Header.Get("Signed") != "i-a" {
		t.Errorf("the caller got %v", resp.Header)
	}
	if resp, _ := f.ask(t, http.MethodHead, "/one/x", ""); resp.StatusCode != http.StatusOK || resp.ContentLength != 16 {
		t.Errorf("HEAD: got %d, a length of %d", resp.StatusCode, resp.ContentLength)
	}
	resp, _ = f.ask(t, http.MethodGet, "/all/x", "")
	if resp.Header.Get("Parts") == "" || resp.Header.Get("Missing") != "1" || resp.Header.Get("Signed") != "" {
		t.Errorf("the caller got %v", resp.Header)
	}
}

// TestLeaving: a VM that is about to end says so to callers, and is no longer
// named or ready; it still answers.
func TestLeaving(t *testing.T) {
	f := newFront(t, true)
	if got := f.router.EntryAddresses("h", "r"); len(got) != 1 {
		t.Fatalf("entries %v", got)
	}
	f.router.Leave()
	if f.router.Ready() {
		t.Error("still ready")
	}
	if resp, _ := f.ask(t, http.MethodGet, "/one/x", ""); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("got %d, close %v", resp.StatusCode, resp.Close)
	}
	for range 200 {
		if len(f.router.EntryAddresses("h", "r")) == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("still named")
}

// TestNothingKnown: a VM that knows no routes refuses; it never says that a
// route does not exist.
func TestNothingKnown(t *testing.T) {
	f := newFront(t, false)
	resp, _ := f.ask(t, http.MethodGet, "/one/x", "")
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || f.router.Ready() {
		t.Errorf("got %d %v, ready %v", resp.StatusCode, resp.Header, f.router.Ready())
	}
}

// TestSplit: the shares of a divided route get their weights within a few of
// any hundred requests.
func TestSplit(t *testing.T) {
	route := shuntroute.Route{Name: "r", WeightedServices: []shuntroute.WeightedService{{Service: "a", Weight: 0.7}, {Service: "b", Weight: 0.3}}}
	var s splits
	for range 10 {
		n := 0
		for range 100 {
			if route.PickService(s.point(route.Name)) == "a" {
				n++
			}
		}
		if n < 67 || n > 73 {
			t.Errorf("%d of 100 go to a share of 0.7", n)
		}
	}
}
