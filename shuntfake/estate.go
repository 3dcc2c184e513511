package shuntfake

import (
	"fmt"
	"strings"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntquery"
)

// WorkspaceSpec describes a workspace and the backend services generated for it.
type WorkspaceSpec struct {
	Name     string
	Template string
	// Services is the number of services, Replicas the number of servers of each.
	Services int
	Replicas int
	// Slots and Connections are the limits of each server.
	Slots       int
	Connections int
	// ConnectTime is the time to open a connection.
	ConnectTime time.Duration
	// ServiceTime is the median time of one request.
	ServiceTime time.Duration
}

// Estate describes a user's deployment: zones, workspaces, VMs and network delays.
type Estate struct {
	Name       string
	Zones      []shuntconfig.Zone
	Workspaces []WorkspaceSpec
	VMs        int
	// ZoneDelay and RegionDelay are the one-way delays between zones of one
	// region and between regions. ClientDelay is the one between callers and VMs.
	ZoneDelay   time.Duration
	RegionDelay time.Duration
	ClientDelay time.Duration
}

const (
	searchServiceTime = 8 * time.Millisecond
	ledgerServiceTime = 15 * time.Millisecond
	slowConnectTime   = 6 * time.Millisecond
	fastConnectTime   = time.Millisecond
	sameZoneDelay     = 100 * time.Microsecond
)

// Cooperative returns an estate modelled on a floorcloth co-operative.
func Cooperative() Estate {
	return Estate{
		Name: "cooperative",
		Zones: []shuntconfig.Zone{
			{Name: "saga-imari", Region: "saga", InService: true},
			{Name: "kumamoto-uto", Region: "kumamoto", InService: true},
			{Name: "fukuoka-hakata", Region: "fukuoka", InService: true},
		},
		Workspaces: []WorkspaceSpec{
			{"showroom", "counter", 20, 2, 2, 25, slowConnectTime, searchServiceTime},
			{"newsletter", "browse", 30, 2, 2, 25, slowConnectTime, searchServiceTime},
			{"dispatch", "counter", 1, 7, 3, 100, fastConnectTime, searchServiceTime},
			{"ledger", "overnight", 1, 3, 3, 100, fastConnectTime, ledgerServiceTime},
		},
		VMs:         6,
		ZoneDelay:   time.Millisecond,
		RegionDelay: 8 * time.Millisecond,
		ClientDelay: 3 * time.Millisecond,
	}
}

// Franchise returns an estate modelled on the office of a futon care franchise.
func Franchise() Estate {
	return Estate{
		Name: "franchise",
		Zones: []shuntconfig.Zone{
			{Name: "amman-west", Region: "amman", InService: true},
			{Name: "irbid-north", Region: "irbid", InService: true},
			{Name: "aqaba-port", Region: "aqaba", InService: true},
		},
		Workspaces: []WorkspaceSpec{
			{"counter-desk", "desk", 20, 2, 3, 30, slowConnectTime, searchServiceTime},
			{"price-board", "browse", 30, 2, 3, 30, slowConnectTime, searchServiceTime},
			{"ledger-run", "overnight", 1, 13, 4, 40, fastConnectTime, ledgerServiceTime},
			{"promo-mailer", "browse", 1, 6, 4, 40, fastConnectTime, ledgerServiceTime},
		},
		VMs:         6,
		ZoneDelay:   1500 * time.Microsecond,
		RegionDelay: 12 * time.Millisecond,
		ClientDelay: 3 * time.Millisecond,
	}
}

// Estates returns all estates by name.
func Estates() map[string]Estate {
	out := map[string]Estate{}
	for _, e := range []Estate{Cooperative(), Franchise()} {
		out[e.Name] = e
	}
	return out
}

// Delay returns the one-way delay between two zones.
func (e Estate) Delay(from, to string) time.Duration {
	if from == to {
		return sameZoneDelay
	}
	var fromRegion, toRegion string
	for _, z := range e.Zones {
		if z.Name == from {
			fromRegion = z.Region
		}
		if z.Name == to {
			toRegion = z.Region
		}
	}
	if fromRegion == toRegion {
		return e.ZoneDelay
	}
	return e.RegionDelay
}

// ListenersPerVM is the number of listeners of a VM: one each for callers, peers
// and operators.
const ListenersPerVM = 3

// Fleet returns a fleet of n VMs in one cell, spread evenly over the zones.
// address returns the address of the i-th listener; each VM uses ListenersPerVM
// consecutive ones.
func (e Estate) Fleet(n int, address func(i int) string) shuntconfig.Fleet {
	f := shuntconfig.Fleet{Zones: e.Zones}
	for i := range n {
		f.VMs = append(f.VMs, shuntconfig.VM{
			Name:            fmt.Sprintf("vm-%d", i+1),
			Zone:            e.Zones[i%len(e.Zones)].Name,
			Cell:            "cell-1",
			InService:       true,
			CallerAddress:   address(ListenersPerVM * i),
			PeerAddress:     address(ListenersPerVM*i + 1),
			OperatorAddress: address(ListenersPerVM*i + 2),
		})
	}
	return f
}

// Templates returns the bodies of the templates that the estates use, by name.
func Templates() map[string]string {
	parameters := `[Parameters.Services]
Type = "StringList"
[Parameters.DeadlineMilliseconds]
Type = "Integer"
Min = 10
Max = 60000
Default = %d
[Settings]
Services = "${Services}"
DeadlineMilliseconds = "${DeadlineMilliseconds}"
`
	return map[string]string{
		"counter":   fmt.Sprintf(parameters, 340) + "Class = \"Interactive\"\nMinimumCoverage = 0.9\n",
		"desk":      fmt.Sprintf(parameters, 340) + "Class = \"Interactive\"\nWaitForAll = true\nMinimumCoverage = 0.95\nRetryFraction = 0.2\n",
		"overnight": fmt.Sprintf(parameters, 5000) + "Class = \"Batch\"\nWaitForAll = true\nMinimumCoverage = 1\nHedgeFraction = 0.02\nRetryFraction = 0.5\n",
		"browse":    fmt.Sprintf(parameters, 340) + "Class = \"Browse\"\nHedgeFraction = 0.01\n",
	}
}

// FirstSnapshot is the snapshot that all services have at the start.
var FirstSnapshot = shuntconfig.SnapshotID{Version: 1, Generation: 1}

// Services returns the services of all workspaces. address returns the address
// of a server. Servers are assigned to the zones in rotation.
func (e Estate) Services(address func(server string) string) []shuntconfig.Service {
	var out []shuntconfig.Service
	for _, w := range e.Workspaces {
		for i := range w.Services {
			out = append(out, e.service(w, i, address))
		}
	}
	return out
}

func (e Estate) service(w WorkspaceSpec, i int, address func(string) string) shuntconfig.Service {
	name := serviceName(w, i)
	s := shuntconfig.Service{
		Name:             name,
		Slots:            w.Slots,
		Connections:      w.Connections,
		InitialSlots:     shuntconfig.DefaultInitialSlots,
		WarmStepTime:     shuntconfig.DefaultWarmStepTime,
		WarmStepRequests: shuntconfig.DefaultWarmStepRequests,
	}
	shard := shuntconfig.Shard{Name: "all"}
	for r := range w.Replicas {
		server := fmt.Sprintf("r%d", r)
		s.Servers = append(s.Servers, shuntconfig.Server{
			Name:    server,
			Address: address(shuntconfig.ServerID(name, server)),
			Zone:    e.Zones[(i+r)%len(e.Zones)].Name,
		})
		shard.Servers = append(shard.Servers, server)
	}
	s.Snapshots = []shuntconfig.Snapshot{{ID: FirstSnapshot, Shards: []shuntconfig.Shard{shard}}}
	return s
}

// ServerSpecs returns the specs of all servers of the services, in order.
func ServerSpecs(services []shuntconfig.Service) []shuntconfig.ServerSpec {
	var out []shuntconfig.ServerSpec
	for _, s := range services {
		for _, v := range s.Servers {
			out = append(out, shuntconfig.NewServerSpec(s, v))
		}
	}
	return out
}

func serviceName(w WorkspaceSpec, i int) string {
	if w.Services == 1 {
		return w.Name
	}
	return fmt.Sprintf("%s-%02d", w.Name, i)
}

// Publish publishes the templates, the given services and the estate's workspaces
// to p.
func (e Estate) Publish(p *Platform, services []shuntconfig.Service) {
	for n, t := range Templates() {
		p.Publish(shuntconfig.MakeKey(shuntconfig.KindTemplate, n), []byte(t))
	}
	for _, s := range services {
		p.Publish(shuntconfig.MakeKey(shuntconfig.KindService, s.Name), shuntconfig.EncodeService(s))
	}
	for _, w := range e.Workspaces {
		names := make([]string, w.Services)
		for i := range names {
			names[i] = fmt.Sprintf("%q", serviceName(w, i))
		}
		body := fmt.Sprintf("Template = %q\n[Parameters]\nServices = [%s]\n", w.Template, strings.Join(names, ", "))
		p.Publish(shuntconfig.MakeKey(shuntconfig.KindWorkspace, w.Name), []byte(body))
	}
}

// WorkspaceOf returns the workspace that a service belongs to, or the zero value
// if there is none.
func (e Estate) WorkspaceOf(service string) WorkspaceSpec {
	for _, w := range e.Workspaces {
		for i := range w.Services {
			if serviceName(w, i) == service {
				return w
			}
		}
	}
	return WorkspaceSpec{}
}

// CheckAnswer compares the answer to the query text with its rows and with the
// recorded runs, and counts the violations that it finds. Call it only once no
// server can still run the query: after its deadline has passed on every server,
// or after all of its attempts have ended.
func (l *Log) CheckAnswer(outcome string, snapshot string, answered int, rows []shuntquery.Row, id, text string) {
	shards := map[string]bool{}
	for _, r := range rows {
		shard, _, _ := strings.Cut(r.Key, ":")
		shards[shard] = true
		rowSnapshot, rest, _ := strings.Cut(r.Text, "|")
		body, _, _ := strings.Cut(rest, "|")
		if rowSnapshot != snapshot {
			l.AddViolation(func(v *Violations) { v.MixedSnapshots++ }, "query %s: row of snapshot %s in an answer of %s", id, rowSnapshot, snapshot)
		}
		if body != text {
			l.AddViolation(func(v *Violations) { v.ForeignRows++ }, "query %s: row of %q", id, body)
		}
	}
	if len(shards) != answered {
		l.AddViolation(func(v *Violations) { v.FalseCoverage++ }, "query %s: rows of %d shards, %d stated", id, len(shards), answered)
	}
	if outcome == "NotRun" && len(l.Runs(id)) > 0 {
		l.AddViolation(func(v *Violations) { v.FalseNotRun++ }, "query %s: answered NotRun, ran on %s", id, l.Runs(id)[0].Server)
	}
}

// CheckAtMostOnce counts a violation for each shard on which a non-idempotent
// request ran more than once.
func (l *Log) CheckAtMostOnce(id string) {
	serverByShard := map[string]string{}
	for _, r := range l.Runs(id) {
		if first, ok := serverByShard[r.Shard]; ok {
			l.AddViolation(func(v *Violations) { v.RanTwice++ }, "request %s ran on %s and on %s", id, first, r.Server)
		}
		serverByShard[r.Shard] = r.Server
	}
}
