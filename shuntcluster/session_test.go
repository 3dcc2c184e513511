package shuntcluster

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

// TestSessions runs the session files in testdata. A session consists of HTTP
// requests of a caller, and of operator actions and faults between them:
//
//	request vm=N method=M path=P [header=value ...]
//		sends a request to a VM and prints the status and the body
//	ticket vm=N name=T
//		gets a ticket from a VM; "{T}" in later bodies stands for it
//	zone name=Z in=BOOL
//	vm name=N in=BOOL
//		takes a zone or a VM out of service, or puts it back
//	snapshot version=V
//		replaces the snapshot of all services
//	drain server=S
//		marks a backend server as draining
//	restart server=S ms=N
//		restarts a backend server, which is down for the given time
//	crash vm=N
//	start vm=N
//		crashes or starts a VM
//	pause ms=N
//		waits
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

// sessionEstate returns an estate with one workspace that has three shards with
// two replicas each.
func sessionEstate() shuntfake.Estate {
	e := shuntfake.Cooperative()
	e.Workspaces = []shuntfake.WorkspaceSpec{
		{Name: "showroom", Template: "counter", Services: 3, Replicas: 2, Slots: 2, Connections: 25, ConnectTime: connectionSetupTime, ServiceTime: 8 * time.Millisecond},
	}
	return e
}

type session struct {
	cluster *Cluster
	tickets map[string]string
}

func (s *session) run(t *testing.T, d *datadriven.TestData) string {
	cluster := s.cluster
	switch d.Cmd {
	case "request":
		return s.sendRequest(t, d)
	case "ticket":
		s.tickets[textArg(t, d, "name")] = cluster.Daemons[numberArg(t, d, "vm")-1].Frontend().IssueTickets(1)[0]
	case "zone":
		cluster.PublishFleet(cluster.Fleet().WithZoneInService(textArg(t, d, "name"), textArg(t, d, "in") == "true"))
	case "vm":
		cluster.PublishFleet(cluster.Fleet().WithVMInService(textArg(t, d, "name"), textArg(t, d, "in") == "true"))
	case "snapshot":
		v := int64(numberArg(t, d, "version"))
		cluster.replaceSnapshot(shuntconfig.SnapshotID{Version: v, Generation: 1}, false)
	case "drain":
		service, server, _ := strings.Cut(textArg(t, d, "server"), "/")
		for _, v := range cluster.Services() {
			if v.Name == service {
				cluster.PublishService(v.WithDraining(server, true))
			}
		}
	case "restart":
		cluster.Backends[textArg(t, d, "server")].Restart(time.Duration(numberArg(t, d, "ms")) * time.Millisecond)
	case "crash":
		cluster.CrashVM(numberArg(t, d, "vm") - 1)
	case "start":
		cluster.StartVM(numberArg(t, d, "vm") - 1)
	case "pause":
		time.Sleep(time.Duration(numberArg(t, d, "ms")) * time.Millisecond)
	default:
		return "unknown command\n"
	}
	return "ok\n"
}

// textArg returns the argument key of a command.
func textArg(t *testing.T, d *datadriven.TestData, key string) string {
	var s string
	d.ScanArgs(t, key, &s)
	return s
}

// numberArg returns the argument key of a command as a number.
func numberArg(t *testing.T, d *datadriven.TestData, key string) int {
	var n int
	d.ScanArgs(t, key, &n)
	return n
}

func (s *session) sendRequest(t *testing.T, d *datadriven.TestData) string {
	var method, path string
	vm := numberArg(t, d, "vm")
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
	return fmt.Sprintf("%d\n%s", w.Code, s.normalize(w.Body.Bytes()))
}

// normalize formats a JSON body without the parts that differ between runs: it
// replaces the lists of entries and of tickets by their lengths, and omits the
// number of sub-requests.
func (s *session) normalize(body []byte) string {
	var v map[string]any
	if err := json.Unmarshal(body, &v); err != nil {
		return string(body)
	}
	if entries, ok := v["Entries"].([]any); ok {
		v["Entries"] = len(entries)
	}
	if tickets, ok := v["Tickets"].([]any); ok {
		v["Tickets"] = len(tickets)
	}
	delete(v, "SubRequests")
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(v); err != nil {
		return err.Error()
	}
	return b.String()
}
