package shuntlab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntentry"
	"mulberryshunt.example/mulberryshunt/shuntfake"
)

// TestSessions runs the sessions in testdata: a caller's requests over HTTP, and
// what operators and servers do between them.
//
//	request vm=N method=M path=P [header=value ...]   prints status and body
//	ticket vm=N name=T       takes a ticket; "{T}" in later bodies stands for it
//	zone name=Z in=BOOL, vm name=N in=BOOL, snapshot version=V, drain server=S,
//	restart server=S, crash vm=N, start vm=N, pause ms=N
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/session", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			s := &session{cluster: Start(Config{Estate: sessionEstate(), Seed: 1, Warm: true}), tickets: map[string]string{}}
			defer s.cluster.Stop()
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return s.run(t, d) })
			if v := s.cluster.Log.Violations(); v.Total() > 0 {
				t.Errorf("%+v %v", v, s.cluster.Log.Notes())
			}
		})
	})
}

// sessionEstate has one workspace of three shards, two replicas each.
func sessionEstate() shuntfake.Estate {
	e := shuntfake.Cooperative()
	e.Workspaces = []shuntfake.WorkspaceSpec{
		{Name: "showroom", Template: "counter", Services: 3, Replicas: 2, Slots: 2, Connections: 25, ConnectTime: connectionSetup, ServiceTime: 8 * time.Millisecond},
	}
	return e
}

type session struct {
	cluster *Cluster
	tickets map[string]string
}

func (s *session) run(t *testing.T, d *datadriven.TestData) string {
	x := s.cluster
	switch d.Cmd {
	case "request":
		return s.request(t, d)
	case "ticket":
		s.tickets[text(t, d, "name")] = x.Daemons[number(t, d, "vm")-1].Frontend().IssueTickets(1)[0]
	case "zone":
		x.PublishFleet(x.Fleet().WithZoneInService(text(t, d, "name"), text(t, d, "in") == "true"))
	case "vm":
		x.PublishFleet(x.Fleet().WithVMInService(text(t, d, "name"), text(t, d, "in") == "true"))
	case "snapshot":
		v := int64(number(t, d, "version"))
		x.flip(shuntconfig.SnapshotID{Version: v, Generation: 1}, false)
	case "drain":
		service, server, _ := strings.Cut(text(t, d, "server"), "/")
		for _, v := range x.Services() {
			if v.Name == service {
				x.PublishService(v.WithDraining(server, true))
			}
		}
	case "restart":
		x.Backends[text(t, d, "server")].Restart(time.Duration(number(t, d, "ms")) * time.Millisecond)
	case "crash":
		x.CrashVM(number(t, d, "vm") - 1)
	case "start":
		x.StartVM(number(t, d, "vm") - 1)
	case "pause":
		time.Sleep(time.Duration(number(t, d, "ms")) * time.Millisecond)
	default:
		return "unknown command\n"
	}
	return "ok\n"
}

func text(t *testing.T, d *datadriven.TestData, key string) string {
	var s string
	d.ScanArgs(t, key, &s)
	return s
}

func number(t *testing.T, d *datadriven.TestData, key string) int {
	var n int
	d.ScanArgs(t, key, &n)
	return n
}

func (s *session) request(t *testing.T, d *datadriven.TestData) string {
	var method, path string
	vm := number(t, d, "vm")
	h := http.Header{}
	for _, a := range d.CmdArgs {
		switch a.Key {
		case "vm":
		case "method":
			method = a.Vals[0]
		case "path":
			path = a.Vals[0]
		default:
			h.Set(a.Key, a.Vals[0])
		}
	}
	body := d.Input
	for name, ticket := range s.tickets {
		body = strings.ReplaceAll(body, "{"+name+"}", ticket)
	}
	body = strings.ReplaceAll(body, "<megabyte>", strings.Repeat("x", shuntentry.MaxBodyBytes))
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header = h
	w := httptest.NewRecorder()
	s.cluster.Daemons[vm-1].Frontend().Handler().ServeHTTP(w, r)
	return fmt.Sprintf("%d\n%s", w.Code, s.stable(w.Body.Bytes()))
}

// stable prints a JSON body with what differs from run to run left out: order
// of addresses of equal rank, and tickets.
func (s *session) stable(body []byte) string {
	var v map[string]any
	if err := json.Unmarshal(body, &v); err != nil {
		return string(body)
	}
	if es, ok := v["Entries"].([]any); ok {
		v["Entries"] = len(es)
	}
	if ts, ok := v["Tickets"].([]any); ok {
		v["Tickets"] = len(ts)
	}
	delete(v, "SubRequests")
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return err.Error()
	}
	return b.String()
}
