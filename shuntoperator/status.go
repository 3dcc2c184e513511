package shuntoperator

import (
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntfleet"
	"mulberryshunt.example/mulberryshunt/shuntowner"
	"mulberryshunt.example/mulberryshunt/shuntquery"
)

// The types below are encoded as JSON in replies to operators.

// Status is the state of one VM.
type Status struct {
	VM string
	// Start identifies the VM's current process.
	Start   string
	Zone    string
	Ready   bool
	Leaving bool
	// Isolated reports whether the VM has recently heard neither from the platform
	// nor from any other VM.
	Isolated bool
	// InService reports whether both the VM and its zone are in service.
	InService bool
	// FleetVersion is the version of the fleet document in use.
	FleetVersion int64
	// Digest is a hash of the keys and versions of all documents in use.
	Digest     string
	Keys       []KeyStatus
	Refused    []RefusedStatus
	Problems   []ProblemStatus
	Peers      []PeerStatus
	Servers    []ServerStatus
	Workspaces []WorkspaceStatus
}

// KeyStatus is a configuration document in use.
type KeyStatus struct {
	Key     string
	Version int64
}

// RefusedStatus is a version of a document that was rejected as invalid.
type RefusedStatus struct {
	Key     string
	Version int64
	Reason  string
}

// ProblemStatus is a workspace whose configuration can't be resolved.
type ProblemStatus struct {
	Workspace string
	Reason    string
}

// PeerStatus is the state of another VM as known to this one.
type PeerStatus struct {
	VM                string
	Zone              string
	Live              bool
	Leaving           bool
	Ready             bool
	SameConfiguration bool
	// HeardMilliseconds is the time since the last message from the VM, or -1 if
	// there was none.
	HeardMilliseconds int64
}

// ServerStatus is the state of a backend server of this VM's cell.
type ServerStatus struct {
	Server string
	Owner  string
	Mine   bool
	// LeaseMilliseconds is the time left until this VM's lease expires; 0 if it
	// holds none.
	LeaseMilliseconds int64
	// Known reports whether this VM has a dispatcher for the server. The fields
	// below are set only in that case.
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

// WorkspaceStatus is the admission limit of a workspace on this VM.
type WorkspaceStatus struct {
	Workspace      string
	AdmissionLimit float64
}

// Sources provides the data for a Status.
type Sources struct {
	View        func() *shuntfleet.View
	Dispatchers func() []shuntowner.DispatcherState
	Limits      func() map[string]float64
}

// NewStatus returns the current state of the VM.
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
		Digest:       formatDigest(v.Self.Digest),
	}
	out.addConfiguration(v.Tree)
	for _, p := range v.Peers {
		out.Peers = append(out.Peers, PeerStatus{
			VM:                p.Name,
			Zone:              p.Zone,
			Live:              p.Live,
			Leaving:           p.Status.Leaving,
			Ready:             p.Status.Ready,
			SameConfiguration: p.Status.Digest == v.Self.Digest,
			HeardMilliseconds: millisecondsSince(p.LastHeard, now),
		})
	}
	out.addServers(v, s.Dispatchers(), now)
	limits := s.Limits()
	for _, n := range v.Tree.Workspaces() {
		out.Workspaces = append(out.Workspaces, WorkspaceStatus{n, limits[n]})
	}
	return out
}

// millisecondsSince returns the time from t to now, or -1 if t is zero.
func millisecondsSince(t, now time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return now.Sub(t).Milliseconds()
}

func (s *Status) addConfiguration(t *shuntconfig.Tree) {
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

func (s *Status) addServers(v *shuntfleet.View, dispatchers []shuntowner.DispatcherState, now time.Time) {
	byServer := make(map[string]shuntowner.DispatcherState, len(dispatchers))
	for _, d := range dispatchers {
		byServer[d.Server] = d
	}
	for _, id := range sortedKeys(v.Leases()) {
		l := v.Lease(id, now)
		out := ServerStatus{Server: id, Owner: l.Owner, Mine: l.Held}
		if l.Held {
			out.LeaseMilliseconds = l.Until.Sub(now).Milliseconds()
		}
		if d, ok := byServer[id]; ok {
			out = out.withDispatcher(d)
		}
		s.Servers = append(s.Servers, out)
	}
}

func (s ServerStatus) withDispatcher(d shuntowner.DispatcherState) ServerStatus {
	s.Known = true
	s.Start = d.Start
	s.Warm = d.Warm
	s.ColdReason = d.ColdReason
	s.Window = d.Window
	s.InFlight = d.InFlight
	s.Queued = d.Queued
	s.Connections = d.OpenConnections
	s.LatencyMicroseconds = d.Latency.Microseconds()
	return s
}

// Explanation describes the outcome of a request and the servers it was sent to.
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

// HopStatus describes how one shard of a request was served.
type HopStatus struct {
	Shard               string
	Server              string
	Owner               string
	Attempts            int
	Hedged              bool
	Reason              string
	ElapsedMicroseconds int64
}

// NewExplanation returns the explanation of an answer.
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
