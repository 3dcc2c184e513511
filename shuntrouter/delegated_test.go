package shuntrouter

import (
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestServeDelegated checks the replies to delegated queries. If nothing has run,
// the reply must say so, so that the other VM may query the shards itself.
func TestServeDelegated(t *testing.T) {
	cases := map[string]struct {
		path    string
		change  map[string]string
		leaving bool
		code    int
		shards  int
	}{
		"both":               {path: "/all/x", code: http.StatusOK, shards: 2},
		"one":                {path: "/all/x", change: map[string]string{"Shunt-Shards": "1"}, code: http.StatusOK, shards: 1},
		"one has no server":  {path: "/all/x", change: map[string]string{"Shunt-Shards": "0,2"}, code: http.StatusOK, shards: 1},
		"too few":            {path: "/all/fails", change: map[string]string{"Shunt-Need": "2"}, code: http.StatusBadGateway},
		"too few have one":   {path: "/all/x", change: map[string]string{"Shunt-Shards": "0,2", "Shunt-Need": "2"}, code: http.StatusServiceUnavailable},
		"no server":          {path: "/all/x", change: map[string]string{"Shunt-Shards": "2"}, code: http.StatusServiceUnavailable},
		"other routes":       {path: "/all/x", change: map[string]string{"Shunt-Version": "2"}, code: http.StatusServiceUnavailable},
		"no such shard":      {path: "/all/x", change: map[string]string{"Shunt-Shards": "3"}, code: http.StatusServiceUnavailable},
		"a route of no kind": {path: "/one/x", code: http.StatusServiceUnavailable},
		"no route":           {path: "/other/x", code: http.StatusServiceUnavailable},
		"unreadable":         {path: "/all/x", change: map[string]string{"Shunt-Need": "some"}, code: http.StatusServiceUnavailable},
		"this VM ends":       {path: "/all/x", leaving: true, code: http.StatusServiceUnavailable},
		"a suspect":          {path: "/all/x", change: map[string]string{"Shunt-Fingerprint": "bad"}, code: http.StatusServiceUnavailable},
	}
	tr := newTestRouter(t, true)
	tr.router.guard.RecordCrash(0xbad, "s", false)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tr.router.leaving.Store(c.leaving)
			h, code := tr.delegate(c.path, c.change)
			if code != c.code || h.Get("Id") != "7" || (h.Get("Shunt-Suspicion") != "") != (c.change["Shunt-Fingerprint"] == "bad") {
				t.Errorf("got %d for %q; want %d", code, h.Get("Id"), c.code)
			}
			if promised := h.Get("Not-Run") != ""; promised != (c.code == http.StatusServiceUnavailable) {
				t.Errorf("reply says that nothing has run: %v", promised)
			}
			if c.shards == 0 {
				return
			}
			if got := strings.Split(h.Get("Shunt-Signatures"), ","); len(got) != c.shards {
				t.Errorf("signatures %v; want %d", got, c.shards)
			}
			if got := tr.lastRequest.Load(); got.Header.Get("Shunt-Shards") != "" || got.Header.Get("Id") != "7" {
				t.Errorf("the server got %v", got.Header)
			}
		})
	}
}

// delegate sends a valid delegated query with the given changes to its headers.
func (tr *testRouter) delegate(path string, change map[string]string) (http.Header, int) {
	in := httptest.NewRequest(http.MethodGet, path, nil)
	in.Host = "h"
	headers := map[string]string{"Id": "7", "Left": "2000", "Shunt-Shards": "0,1", "Shunt-Version": "1", "Shunt-Need": "1", "Shunt-Due-Ms": "200", "Shunt-Fingerprint": "a"}
	maps.Copy(headers, change)
	for name, v := range headers {
		in.Header.Set(name, v)
	}
	w := httptest.NewRecorder()
	tr.router.serveDelegated(w, in)
	return w.Header(), w.Code
}

// TestServeRelayed checks the replies to requests that another VM relays. If nothing has
// run, the reply must say so.
func TestServeRelayed(t *testing.T) {
	cases := map[string]struct {
		path    string
		change  map[string]string
		leaving bool
		code    int
	}{
		"one service":            {path: "/one/x", code: http.StatusOK},
		"all shards":             {path: "/all/x", code: http.StatusOK},
		"a server's own error":   {path: "/one/error", code: http.StatusTeapot},
		"no server":              {path: "/none/x", code: http.StatusServiceUnavailable},
		"no route":               {path: "/other/x", code: http.StatusServiceUnavailable},
		"unreadable fingerprint": {path: "/one/x", change: map[string]string{"Shunt-Fingerprint": "?"}, code: http.StatusServiceUnavailable},
		"unreadable time":        {path: "/one/x", change: map[string]string{"Shunt-Elapsed-Us": "-1"}, code: http.StatusServiceUnavailable},
		"older routes":           {path: "/one/x", change: map[string]string{"Shunt-Version": "2"}, code: http.StatusServiceUnavailable},
		"newer routes":           {path: "/one/x", change: map[string]string{"Shunt-Version": "0"}, code: http.StatusOK},
		"no version":             {path: "/one/x", change: map[string]string{"Shunt-Version": ""}, code: http.StatusServiceUnavailable},
		"this VM ends":           {path: "/one/x", leaving: true, code: http.StatusOK},
		"in quarantine":          {path: "/one/x", change: map[string]string{"Shunt-Fingerprint": "abc", "Shunt-Suspicion": "1 100"}, code: http.StatusServiceUnavailable},
	}
	tr := newTestRouter(t, true)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tr.router.leaving.Store(c.leaving)
			change := map[string]string{"Shunt-Relayed": "1", "Shunt-Elapsed-Us": "1500"}
			maps.Copy(change, c.change)
			h, code := tr.delegate(c.path, change)
			if code != c.code || h.Get("Id") != "7" {
				t.Errorf("got %d for %q; want %d", code, h.Get("Id"), c.code)
			}
			if promised := h.Get("Not-Run") != ""; promised != (c.code == http.StatusServiceUnavailable) {
				t.Errorf("reply says that nothing has run: %v", promised)
			}
			if c.code != http.StatusOK {
				return
			}
			if got := tr.lastRequest.Load(); got.Header.Get("Shunt-Relayed") != "" || got.Header.Get("Shunt-Elapsed-Us") != "" || got.Header.Get("Id") != "7" {
				t.Errorf("the server got %v", got.Header)
			}
		})
	}
}
