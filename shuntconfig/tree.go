package shuntconfig

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Tree is the configuration of one VM: the newest accepted version of each
// document, and the plans, servers and digest computed from all of them. A Tree
// is immutable; With returns a new one.
type Tree struct {
	documents  map[Key]Document
	refused    map[Key]Refusal
	fleet      Fleet
	templates  map[string]Template
	workspaces map[string]WorkspaceDocument
	services   map[string]Service
	plans      map[string]*Plan
	problems   map[string]error
	servers    map[string]ServerSpec
	digest     uint64
}

// Refusal records a published document that failed validation. The version
// accepted before it stays in force.
type Refusal struct {
	Version int64
	Err     error
}

// ServerSpec is a backend server together with the settings of its service,
// which Service describes.
type ServerSpec struct {
	Server
	Service          string
	Slots            int
	Connections      int
	InitialSlots     int
	WarmStepTime     time.Duration
	WarmStepRequests int
}

// Plan holds the settings of a workspace and the snapshots, shards and replicas
// that a query on it can use.
type Plan struct {
	Workspace Workspace
	// Snapshots are the snapshots that every service of the workspace serves,
	// newest first.
	Snapshots []PlanSnapshot
}

// PlanSnapshot is one snapshot with its shards in all services of a workspace.
type PlanSnapshot struct {
	ID     SnapshotID
	Shards []PlanShard
}

// PlanShard is one shard and the servers that hold a replica of it.
type PlanShard struct {
	// Name has the form "service/shard".
	Name     string
	Service  string
	Replicas []ServerSpec
}

// NewTree returns a Tree without documents.
func NewTree() *Tree {
	return &Tree{
		documents:  map[Key]Document{},
		refused:    map[Key]Refusal{},
		templates:  map[string]Template{},
		workspaces: map[string]WorkspaceDocument{},
		services:   map[string]Service{},
		plans:      map[string]*Plan{},
		problems:   map[string]error{},
		servers:    map[string]ServerSpec{},
	}
}

// With returns a copy of t that includes docs, or t itself if they change
// nothing. A document that is not newer than the last accepted or refused
// version of its key is ignored. One that fails validation is recorded as
// refused, and the last valid version stays in force.
func (t *Tree) With(docs ...Document) *Tree {
	next := &Tree{
		documents:  maps.Clone(t.documents),
		refused:    maps.Clone(t.refused),
		fleet:      t.fleet,
		templates:  maps.Clone(t.templates),
		workspaces: maps.Clone(t.workspaces),
		services:   maps.Clone(t.services),
		plans:      t.plans,
	}
	changed := false
	for _, d := range docs {
		changed = next.put(d) || changed
	}
	if !changed {
		return t
	}
	next.resolve()
	return next
}

// put accepts or refuses d and reports whether t changed. It ignores versions
// that are not newer than those that t has accepted or refused.
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

// accept decodes and validates d and stores the result.
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
		t.workspaces[name] = v
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
		delete(t.workspaces, name)
	case KindService:
		delete(t.services, name)
	}
}

// resolve computes the plans, servers, problems and digest from the documents.
// If the plan of a workspace can't be built, the error goes to problems and the
// previous plan, if any, stays in force.
func (t *Tree) resolve() {
	before := t.plans
	t.plans = map[string]*Plan{}
	t.problems = map[string]error{}
	t.servers = map[string]ServerSpec{}
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		t.addServers(t.services[name])
	}
	for _, name := range slices.Sorted(maps.Keys(t.workspaces)) {
		p, err := t.buildPlan(t.workspaces[name])
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

// addServers adds the servers of s to t.servers.
func (t *Tree) addServers(s Service) {
	for _, server := range s.Servers {
		// Server names are unique only within a service.
		t.servers[ServerID(s.Name, server.Name)] = NewServerSpec(s, server)
	}
}

// NewServerSpec returns the ServerSpec of one server of service.
func NewServerSpec(service Service, server Server) ServerSpec {
	return ServerSpec{
		Server:           server,
		Service:          service.Name,
		Slots:            service.Slots,
		Connections:      service.Connections,
		InitialSlots:     service.InitialSlots,
		WarmStepTime:     service.WarmStepTime,
		WarmStepRequests: service.WarmStepRequests,
	}
}

// ServerID returns the ID of a server, "service/server", which is unique among
// all services.
func ServerID(service, server string) string {
	return service + "/" + server
}

// ID returns the ID of p, which is unique among all services.
func (p ServerSpec) ID() string {
	return ServerID(p.Service, p.Name)
}

// buildPlan renders the workspace document d with its template and combines the
// result with the services that it names.
func (t *Tree) buildPlan(d WorkspaceDocument) (*Plan, error) {
	k := MakeKey(KindWorkspace, d.Name)
	tmpl, err := t.template(k, d.Template)
	if err != nil {
		return nil, err
	}
	w, err := tmpl.Render(d)
	if err != nil {
		return nil, err
	}
	p := &Plan{Workspace: w}
	services := make([]Service, 0, len(w.Services))
	for _, name := range w.Services {
		service, ok := t.services[name]
		if !ok {
			return nil, &FieldError{k, "Services", name, "is not published"}
		}
		services = append(services, service)
	}
	p.Snapshots = commonSnapshots(services)
	if len(p.Snapshots) == 0 {
		return nil, &FieldError{k, "Services", w.Services[0], "has no snapshot in common with the other services"}
	}
	return p, nil
}

// commonSnapshots returns the snapshots that all of the services serve, newest
// first.
func commonSnapshots(services []Service) []PlanSnapshot {
	count := map[SnapshotID]int{}
	for _, service := range services {
		for _, snapshot := range service.Snapshots {
			count[snapshot.ID]++
		}
	}
	var out []PlanSnapshot
	for id, n := range count {
		if n == len(services) {
			out = append(out, newPlanSnapshot(id, services))
		}
	}
	slices.SortFunc(out, func(a, b PlanSnapshot) int { return b.ID.Compare(a.ID) })
	return out
}

// newPlanSnapshot collects the shards of snapshot id and their replicas from all
// of the services.
func newPlanSnapshot(id SnapshotID, services []Service) PlanSnapshot {
	p := PlanSnapshot{ID: id}
	for _, service := range services {
		byName := map[string]Server{}
		for _, server := range service.Servers {
			byName[server.Name] = server
		}
		for _, snapshot := range service.Snapshots {
			if snapshot.ID != id {
				continue
			}
			for _, shard := range snapshot.Shards {
				planShard := PlanShard{Name: service.Name + "/" + shard.Name, Service: service.Name}
				for _, name := range shard.Servers {
					planShard.Replicas = append(planShard.Replicas, NewServerSpec(service, byName[name]))
				}
				p.Shards = append(p.Shards, planShard)
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

// Digest returns a hash of the keys and versions in force. VMs with the same
// digest have the same configuration.
func (t *Tree) Digest() uint64 { return t.digest }

// Fleet returns the fleet in force.
func (t *Tree) Fleet() Fleet { return t.fleet }

// Plan returns the plan in force for a workspace, or nil if there is none.
func (t *Tree) Plan(workspace string) *Plan { return t.plans[workspace] }

// Problem returns why no plan can be built from the current documents of a
// workspace, or nil if one can.
func (t *Tree) Problem(workspace string) error { return t.problems[workspace] }

// Workspaces returns the sorted names of all workspaces, including those
// without a plan.
func (t *Tree) Workspaces() []string { return slices.Sorted(maps.Keys(t.workspaces)) }

// Server returns the backend server with the given ID.
func (t *Tree) Server(id string) (ServerSpec, bool) {
	p, ok := t.servers[id]
	return p, ok
}

// Servers returns all backend servers by ID. The caller must not change the map.
func (t *Tree) Servers() map[string]ServerSpec { return t.servers }

// Document returns the document in force for a key.
func (t *Tree) Document(k Key) (Document, bool) {
	d, ok := t.documents[k]
	return d, ok
}

// Refusals returns the refused documents by key. The caller must not change the
// map.
func (t *Tree) Refusals() map[Key]Refusal { return t.refused }

// Versions returns the version in force for each key.
func (t *Tree) Versions() map[Key]int64 {
	out := make(map[Key]int64, len(t.documents))
	for k, d := range t.documents {
		out[k] = d.Version
	}
	return out
}

// Render returns the settings that a workspace gets from its template. It
// doesn't need the services of the workspace to be published.
func (t *Tree) Render(workspace string) (Workspace, error) {
	k := MakeKey(KindWorkspace, workspace)
	if r, ok := t.refused[k]; ok {
		return Workspace{}, r.Err
	}
	d, ok := t.workspaces[workspace]
	if !ok {
		return Workspace{}, &FieldError{k, "Workspace", workspace, "is not published"}
	}
	tmpl, err := t.template(k, d.Template)
	if err != nil {
		return Workspace{}, err
	}
	return tmpl.Render(d)
}

func (t *Tree) template(k Key, name string) (Template, error) {
	tmpl, ok := t.templates[name]
	if ok {
		return tmpl, nil
	}
	if r, ok := t.refused[MakeKey(KindTemplate, name)]; ok {
		return Template{}, r.Err
	}
	return Template{}, &FieldError{k, "Template", name, "is not published"}
}
