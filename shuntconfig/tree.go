package shuntconfig

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Tree is the configuration as one VM has it: the newest accepted version of
// each document, and what follows from all of them. A Tree never changes;
// With returns a new one.
type Tree struct {
	documents map[Key]Document
	refused   map[Key]Refusal
	fleet     Fleet
	templates map[string]Template
	drafts    map[string]WorkspaceDocument
	services  map[string]Service
	plans     map[string]*Plan
	problems  map[string]error
	servers   map[string]ServerSpec
	digest    uint64
}

// Refusal is a published document that was refused; the version accepted
// before it stays in force.
type Refusal struct {
	Version int64
	Err     error
}

// ServerSpec is a backend server with the service that it belongs to.
type ServerSpec struct {
	Server
	Service          string
	Slots            int
	Connections      int
	InitialSlots     int
	WarmStepTime     time.Duration
	WarmStepRequests int
}

// Plan is a workspace with all that a query on it needs.
type Plan struct {
	Workspace Workspace
	// Snapshots are those that every service of the workspace serves, newest first.
	Snapshots []PlanSnapshot
}

// PlanSnapshot is one snapshot across all services of a workspace.
type PlanSnapshot struct {
	ID     SnapshotID
	Shards []PlanShard
}

// PlanShard is one shard and its replicas.
type PlanShard struct {
	// Name is "service/shard".
	Name     string
	Service  string
	Replicas []ServerSpec
}

// NewTree returns a Tree without documents.
func NewTree() *Tree {
	return &Tree{
		documents: map[Key]Document{},
		refused:   map[Key]Refusal{},
		templates: map[string]Template{},
		drafts:    map[string]WorkspaceDocument{},
		services:  map[string]Service{},
		plans:     map[string]*Plan{},
		problems:  map[string]error{},
		servers:   map[string]ServerSpec{},
	}
}

// With returns t with those of docs that are newer than what t holds. A
// document that fails its check is recorded as refused, and the last good one
// stays in force. A version lower than or equal to the one held is ignored.
func (t *Tree) With(docs ...Document) *Tree {
	n := &Tree{
		documents: maps.Clone(t.documents),
		refused:   maps.Clone(t.refused),
		fleet:     t.fleet,
		templates: maps.Clone(t.templates),
		drafts:    maps.Clone(t.drafts),
		services:  maps.Clone(t.services),
		plans:     t.plans,
	}
	changed := false
	for _, d := range docs {
		changed = n.put(d) || changed
	}
	if !changed {
		return t
	}
	n.resolve()
	return n
}

// put stores d and reports whether anything changed.
func (t *Tree) put(d Document) bool {
	if d.Version <= t.documents[d.Key].Version {
		return false
	}
	if d.Version <= t.refused[d.Key].Version {
		return false
	}
	if err := t.accept(d); err != nil {
		t.refused[d.Key] = Refusal{d.Version, err}
		return true
	}
	delete(t.refused, d.Key)
	t.documents[d.Key] = d
	return true
}

func (t *Tree) accept(d Document) error {
	if err := d.Key.Check(); err != nil {
		return err
	}
	kind, name := d.Key.Split()
	if d.Deleted {
		t.remove(kind, name)
		return nil
	}
	switch kind {
	case KindFleet:
		f, err := DecodeFleet(d)
		if err != nil {
			return err
		}
		t.fleet = f
	case KindTemplate:
		v, err := DecodeTemplate(d)
		if err != nil {
			return err
		}
		t.templates[name] = v
	case KindWorkspace:
		v, err := DecodeWorkspace(d)
		if err != nil {
			return err
		}
		t.drafts[name] = v
	case KindService:
		v, err := DecodeService(d)
		if err != nil {
			return err
		}
		t.services[name] = v
	}
	return nil
}

func (t *Tree) remove(kind Kind, name string) {
	switch kind {
	case KindFleet:
		t.fleet = Fleet{}
	case KindTemplate:
		delete(t.templates, name)
	case KindWorkspace:
		delete(t.drafts, name)
	case KindService:
		delete(t.services, name)
	}
}

// resolve works out plans, servers and digest from the documents. A workspace
// that no longer resolves keeps the plan it had, with the problem noted.
func (t *Tree) resolve() {
	before := t.plans
	t.plans = map[string]*Plan{}
	t.problems = map[string]error{}
	t.servers = map[string]ServerSpec{}
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		t.placeServers(t.services[name])
	}
	for _, name := range slices.Sorted(maps.Keys(t.drafts)) {
		p, err := t.plan(t.drafts[name])
		if err != nil {
			t.problems[name] = err
			p = before[name]
		}
		if p != nil {
			t.plans[name] = p
		}
	}
	t.digest = t.computeDigest()
}

func (t *Tree) placeServers(s Service) {
	for _, v := range s.Servers {
		// The name of a server is only unique within its service.
		t.servers[ServerID(s.Name, v.Name)] = NewServerSpec(s, v)
	}
}

// NewServerSpec returns a server of s with what s publishes of all its servers.
func NewServerSpec(s Service, v Server) ServerSpec {
	return ServerSpec{
		Server:           v,
		Service:          s.Name,
		Slots:            s.Slots,
		Connections:      s.Connections,
		InitialSlots:     s.InitialSlots,
		WarmStepTime:     s.WarmStepTime,
		WarmStepRequests: s.WarmStepRequests,
	}
}

// ServerID returns the name of a server that is unique among all services.
func ServerID(service, server string) string {
	return service + "/" + server
}

// ID returns the name of p that is unique among all services.
func (p ServerSpec) ID() string {
	return ServerID(p.Service, p.Name)
}

func (t *Tree) plan(d WorkspaceDocument) (*Plan, error) {
	k := MakeKey(KindWorkspace, d.Name)
	tp, err := t.template(k, d.Template)
	if err != nil {
		return nil, err
	}
	w, err := tp.Render(d)
	if err != nil {
		return nil, err
	}
	p := &Plan{Workspace: w}
	ss := make([]Service, 0, len(w.Services))
	for _, n := range w.Services {
		s, ok := t.services[n]
		if !ok {
			return nil, &FieldError{k, "Services", n, "is not published"}
		}
		ss = append(ss, s)
	}
	p.Snapshots = commonSnapshots(ss)
	if len(p.Snapshots) == 0 {
		return nil, &FieldError{k, "Services", w.Services[0], "has no snapshot in common with the other services"}
	}
	return p, nil
}

func commonSnapshots(ss []Service) []PlanSnapshot {
	count := map[SnapshotID]int{}
	for _, s := range ss {
		for _, n := range s.Snapshots {
			count[n.ID]++
		}
	}
	var out []PlanSnapshot
	for id, n := range count {
		if n == len(ss) {
			out = append(out, planSnapshot(id, ss))
		}
	}
	slices.SortFunc(out, func(a, b PlanSnapshot) int { return b.ID.Compare(a.ID) })
	return out
}

func planSnapshot(id SnapshotID, ss []Service) PlanSnapshot {
	p := PlanSnapshot{ID: id}
	for _, s := range ss {
		byName := map[string]Server{}
		for _, v := range s.Servers {
			byName[v.Name] = v
		}
		for _, n := range s.Snapshots {
			if n.ID != id {
				continue
			}
			for _, h := range n.Shards {
				ps := PlanShard{Name: s.Name + "/" + h.Name, Service: s.Name}
				for _, r := range h.Servers {
					ps.Replicas = append(ps.Replicas, NewServerSpec(s, byName[r]))
				}
				p.Shards = append(p.Shards, ps)
			}
		}
	}
	return p
}

func (t *Tree) computeDigest() uint64 {
	var h xxhash.Digest
	var b [8]byte
	for _, k := range slices.Sorted(maps.Keys(t.documents)) {
		_, _ = h.WriteString(string(k))
		binary.LittleEndian.PutUint64(b[:], uint64(t.documents[k].Version))
		_, _ = h.Write(b[:])
	}
	return h.Sum64()
}

// Digest returns a hash of all keys and versions in force: equal digests mean
// equal configuration.
func (t *Tree) Digest() uint64 { return t.digest }

// Fleet returns the fleet in force.
func (t *Tree) Fleet() Fleet { return t.fleet }

// Plan returns the plan of a workspace, or nil.
func (t *Tree) Plan(workspace string) *Plan { return t.plans[workspace] }

// Problem returns why the workspace's documents don't resolve, or nil.
func (t *Tree) Problem(workspace string) error { return t.problems[workspace] }

// Workspaces returns the names of the workspaces in order.
func (t *Tree) Workspaces() []string { return slices.Sorted(maps.Keys(t.drafts)) }

// Server returns the backend server with that ID.
func (t *Tree) Server(id string) (ServerSpec, bool) {
	p, ok := t.servers[id]
	return p, ok
}

// Servers returns all backend servers by ID. The caller must not change the map.
func (t *Tree) Servers() map[string]ServerSpec { return t.servers }

// Document returns the accepted document of a key.
func (t *Tree) Document(k Key) (Document, bool) {
	d, ok := t.documents[k]
	return d, ok
}

// Refusals returns the refused documents. The caller must not change the map.
func (t *Tree) Refusals() map[Key]Refusal { return t.refused }

// Versions returns the version in force of each key.
func (t *Tree) Versions() map[Key]int64 {
	out := make(map[Key]int64, len(t.documents))
	for k, d := range t.documents {
		out[k] = d.Version
	}
	return out
}

// Render returns a workspace as its template makes it, whether or not its
// services are published.
func (t *Tree) Render(workspace string) (Workspace, error) {
	k := MakeKey(KindWorkspace, workspace)
	if r, ok := t.refused[k]; ok {
		return Workspace{}, r.Err
	}
	d, ok := t.drafts[workspace]
	if !ok {
		return Workspace{}, &FieldError{k, "Workspace", workspace, "is not published"}
	}
	tp, err := t.template(k, d.Template)
	if err != nil {
		return Workspace{}, err
	}
	return tp.Render(d)
}

func (t *Tree) template(k Key, name string) (Template, error) {
	tp, ok := t.templates[name]
	if ok {
		return tp, nil
	}
	if r, ok := t.refused[MakeKey(KindTemplate, name)]; ok {
		return Template{}, r.Err
	}
	return Template{}, &FieldError{k, "Template", name, "is not published"}
}
