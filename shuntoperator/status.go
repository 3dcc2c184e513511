package shuntoperator

import (
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntfleet"
	"mulberryshunt.example/mulberryshunt/shuntowner"
	"mulberryshunt.example/mulberryshunt/shuntquery"
)

// The types below are what the operators' HTTP interface answers with.

// Status is the state of one VM.
type Status struct {
	VM           string
	Start        string
	Zone         string
	Ready        bool
	Leaving      bool
	Isolated     bool
	InService    bool
	FleetVersion int64
	Digest       string
	Keys         []KeyStatus
	Refused      []RefusedStatus
	Problems     []ProblemStatus
	Peers        []PeerStatus
	Servers      []ServerStatus
	Workspaces   []WorkspaceStatus
}

// KeyStatus is one document in force.
type KeyStatus struct {
	Key     string
	Version int64
}

// RefusedStatus is a document that was refused.
type RefusedStatus struct {
	Key     string
	Version int64
	Reason  string
}

// ProblemStatus is a workspace whose documents don't resolve.
type ProblemStatus struct {
	Workspace string
	Reason    string
}

// PeerStatus is another VM as this one hears it.
type PeerStatus struct {
	VM                string
	Zone              string
	Live              bool
	Leaving           bool
	Ready             bool
	SameConfiguration bool
	HeardMilliseconds int64
}

// ServerStatus is a backend server of this VM's cell.
type ServerStatus struct {
	Server            string
	Owner             string
	Mine              bool
	LeaseMilliseconds int64
	// The fields below are set where this VM has worked with the server.
	Known               bool
	Start               string
	Warm                bool
	ColdReason          string
	Window              int
	InFlight            int
	Queued              int
	Connections         int
	LatencyMicroseconds int64
}

// WorkspaceStatus is a workspace's admission on this VM.
type WorkspaceStatus struct {
	Workspace      string
	AdmissionLimit float64
}

// Sources are what a Status is made from.
type Sources struct {
	View        func() *shuntfleet.View
	Dispatchers func() []shuntowner.DispatcherState
	Limits      func() map[string]float64
}

// NewStatus reads the state of the VM now.
func NewStatus(s Sources) Status {
	now := time.Now()
	v := s.View()
	vm, _ := v.Tree.Fleet().VM(v.Self.VM)
	out := Status{
		VM:           v.Self.VM,
		Start:        v.Self.Start,
		Zone:         vm.Zone,
		Ready:        v.Self.Ready,
		Leaving:      v.Self.Leaving,
		Isolated:     v.Isolated,
		InService:    v.InService,
		FleetVersion: v.Self.FleetVersion,
		Digest:       digest(v.Self.Digest),
	}
	out.configuration(v.Tree)
	for _, p := range v.Peers {
		out.Peers = append(out.Peers, PeerStatus{
			VM:                p.Name,
			Zone:              p.Zone,
			Live:              p.Live,
			Leaving:           p.Status.Leaving,
			Ready:             p.Status.Ready,
			SameConfiguration: p.Status.Digest == v.Self.Digest,
			HeardMilliseconds: heard(p.LastHeard, now),
		})
	}
	out.servers(v, s.Dispatchers(), now)
	limits := s.Limits()
	for _, n := range v.Tree.Workspaces() {
		out.Workspaces = append(out.Workspaces, WorkspaceStatus{n, limits[n]})
	}
	return out
}

// heard returns how long ago t was, or -1 for never.
func heard(t, now time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return now.Sub(t).Milliseconds()
}

func (s *Status) configuration(t *shuntconfig.Tree) {
	for _, k := range sortedKeys(t.Versions()) {
		d, _ := t.Document(k)
		s.Keys = append(s.Keys, KeyStatus{string(k), d.Version})
	}
	for _, k := range sortedKeys(t.Refusals()) {
		r := t.Refusals()[k]
		s.Refused = append(s.Refused, RefusedStatus{string(k), r.Version, r.Err.Error()})
	}
	for _, n := range t.Workspaces() {
		if err := t.Problem(n); err != nil {
			s.Problems = append(s.Problems, ProblemStatus{n, err.Error()})
		}
	}
}

func (s *Status) servers(v *shuntfleet.View, gates []shuntowner.DispatcherState, now time.Time) {
	states := make(map[string]shuntowner.DispatcherState, len(gates))
	for _, g := range gates {
		states[g.Server] = g
	}
	for _, id := range sortedKeys(v.Leases()) {
		l := v.Lease(id, now)
		out := ServerStatus{Server: id, Owner: l.Owner, Mine: l.Held}
		if l.Held {
			out.LeaseMilliseconds = l.Until.Sub(now).Milliseconds()
		}
		if g, ok := states[id]; ok {
			out = out.withGate(g)
		}
		s.Servers = append(s.Servers, out)
	}
}

func (s ServerStatus) withGate(g shuntowner.DispatcherState) ServerStatus {
	s.Known = true
	s.Start = g.Start
	s.Warm = g.Warm
	s.ColdReason = g.ColdReason
	s.Window = g.Window
	s.InFlight = g.InFlight
	s.Queued = g.Queued
	s.Connections = g.OpenConnections
	s.LatencyMicroseconds = g.Latency.Microseconds()
	return s
}

// Explanation tells why a request was routed as it was.
type Explanation struct {
	RequestID string
	Outcome   string
	Reason    string
	Text      string
	Snapshot  string
	Answered  int
	Total     int
	Sent      int
	Hedges    int
	Retries   int
	Hops      []HopStatus
}

// HopStatus tells of one shard.
type HopStatus struct {
	Shard               string
	Server              string
	Owner               string
	Attempts            int
	Hedged              bool
	Reason              string
	ElapsedMicroseconds int64
}

// NewExplanation maps an answer for operators.
func NewExplanation(a shuntquery.Answer) Explanation {
	out := Explanation{
		RequestID: a.ID,
		Outcome:   a.Outcome.String(),
		Reason:    a.Reason.String(),
		Text:      a.Reason.Text(),
		Snapshot:  a.Snapshot.String(),
		Answered:  a.Answered,
		Total:     a.Total,
		Sent:      a.Sent,
		Hedges:    a.Hedges,
		Retries:   a.Retries,
	}
	for _, h := range a.Route {
		out.Hops = append(out.Hops, HopStatus{
			Shard:               h.Shard,
			Server:              h.Server,
			Owner:               h.Owner,
			Attempts:            h.Attempts,
			Hedged:              h.Hedged,
			Reason:              h.Reason.String(),
			ElapsedMicroseconds: h.Elapsed.Microseconds(),
		})
	}
	return out
}
