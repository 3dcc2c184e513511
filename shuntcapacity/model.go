package shuntcapacity

import (
	"fmt"
	"math/rand/v2"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntfleet"
)

// Size describes a fleet and its load.
type Size struct {
	VMs, Servers, Zones, Regions int
	// Queries is per second, and Shards is per query.
	Queries, Shards int
	// Changes, Failures and Replacements are per day.
	Changes, Failures, Replacements int
	// CellVMs is the number of VMs in a cell.
	CellVMs int
	// PlatformReads is the number of reads per second that the platform can
	// answer, for all VMs together.
	PlatformReads int
	// Keys is the number of published documents.
	Keys int
	// LatencyMilliseconds is the mean time that a sub-request is in flight.
	LatencyMilliseconds float64
}

// Target returns the size for which the system is designed.
func Target() Size {
	return Size{
		VMs: 870, Servers: 5900, Zones: 9, Regions: 3,
		Queries: 210_000, Shards: 210,
		Changes: 2200, Failures: 18, Replacements: 1700,
		CellVMs: 12, PlatformReads: 2000, Keys: 3000, LatencyMilliseconds: 30,
	}
}

// Today returns the size of a present installation.
func Today() Size {
	return Size{
		VMs: 6, Servers: 110, Zones: 3, Regions: 3,
		Queries: 200, Shards: 20,
		Changes: 50, Failures: 1, Replacements: 12,
		CellVMs: 6, PlatformReads: 2000, Keys: 60, LatencyMilliseconds: 20,
	}
}

const (
	secondsPerDay    = 86_400
	cellBeatRate     = 2
	remoteBeatRate   = 1
	watchSeconds     = 30
	vmListSeconds    = 15
	replicasPerShard = 2
	// startupCalls is the number of platform calls that a VM makes when it
	// starts, besides reading documents: the list of keys, the Fleet document,
	// the VM list and the first watch.
	startupCalls    = 4
	microsPerSecond = 1e6
	megabyte        = 1 << 20
	// maxTakeoverSeconds is the longest time that a backend server is without an
	// owner after its owner failed. It is the sum of the time until the failure
	// is detected, the rest of the lease, and one heartbeat interval.
	maxTakeoverSeconds = 1.6 + 2 + 0.5
)

// Line is one line of the capacity table.
type Line struct {
	Role, Quantity, Value, Mechanism string
	// Warning is empty unless the value exceeds its limit. It then names the
	// limit and what would bring the value below it.
	Warning string
}

// Batching describes how sub-requests are batched by owner.
type Batching struct {
	// Owners is the mean number of VMs to which a query sends batches, and
	// Unbatched is the mean number of messages if each sub-request were sent on
	// its own.
	Owners, Unbatched float64
	// MaxServers and MeanServers are the numbers of backend servers that one VM
	// owns.
	MaxServers  int
	MeanServers float64
}

// configuration returns the documents of a fleet of this size. Each workspace has
// as many services as a query has shards, and replicas are distributed over the
// zones in turn.
func (s Size) configuration() *shuntconfig.Tree {
	f := shuntconfig.Fleet{}
	for z := range s.Zones {
		f.Zones = append(f.Zones, shuntconfig.Zone{Name: fmt.Sprintf("z%d", z), Region: fmt.Sprintf("r%d", z%s.Regions), InService: true})
	}
	for i := range s.VMs {
		// The VMs of a cell are distributed over the zones of one region in turn.
		cell := i / s.CellVMs
		region := cell % s.Regions
		zone := (region + s.Regions*(i%max(1, s.Zones/s.Regions))) % s.Zones
		if s.Zones == s.Regions {
			zone = i % s.Zones
		}
		f.VMs = append(f.VMs, shuntconfig.VM{
			Name: fmt.Sprintf("vm%04d", i), Zone: fmt.Sprintf("z%d", zone), Cell: fmt.Sprintf("c%03d", cell), InService: true,
			CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2", OperatorAddress: "10.0.0.1:3",
		})
	}
	docs := []shuntconfig.Document{
		{Key: shuntconfig.FleetKey, Version: 1, Body: shuntconfig.EncodeFleet(f)},
		{Key: "Template/t", Version: 1, Body: []byte("[Parameters.Services]\nType = \"StringList\"\n[Settings]\nServices = \"${Services}\"\n")},
	}
	return shuntconfig.NewTree().With(append(docs, s.serviceDocuments()...)...)
}

// serviceDocuments returns the Service and Workspace documents.
func (s Size) serviceDocuments() []shuntconfig.Document {
	var docs []shuntconfig.Document
	var names string
	servers, servicesInWorkspace := 0, 0
	flush := func() {
		docs = append(docs, shuntconfig.Document{
			Key: shuntconfig.MakeKey(shuntconfig.KindWorkspace, fmt.Sprintf("w%03d", len(docs))), Version: 1,
			Body: []byte("Template = \"t\"\n[Parameters]\nServices = [" + names + "]\n"),
		})
		names, servicesInWorkspace = "", 0
	}
	for servers < s.Servers {
		name := fmt.Sprintf("s%05d", servers)
		v := shuntconfig.Service{Name: name, Slots: 2, Connections: 25, InitialSlots: 1, WarmStepRequests: 4}
		h := shuntconfig.Shard{Name: "all"}
		for r := range min(replicasPerShard, s.Servers-servers) {
			server := fmt.Sprintf("r%d", r)
			v.Servers = append(v.Servers, shuntconfig.Server{Name: server, Address: "10.0.0.2:1", Zone: fmt.Sprintf("z%d", (servers/replicasPerShard+r*(s.Zones/s.Regions+1))%s.Zones)})
			h.Servers = append(h.Servers, server)
		}
		v.Snapshots = []shuntconfig.Snapshot{{ID: shuntconfig.SnapshotID{Version: 1, Generation: 1}, Shards: []shuntconfig.Shard{h}}}
		docs = append(docs, shuntconfig.Document{Key: shuntconfig.MakeKey(shuntconfig.KindService, name), Version: 1, Body: shuntconfig.EncodeService(v)})
		if names != "" {
			names += ", "
		}
		names += fmt.Sprintf("%q", name)
		servers += len(v.Servers)
		if servicesInWorkspace++; servicesInWorkspace == s.Shards {
			flush()
		}
	}
	if servicesInWorkspace > 0 {
		flush()
	}
	return docs
}

// EstimateBatching assigns the backend servers of a fleet of this size to VMs as
// the fleet itself does, and counts the VMs to which queries are sent.
func (s Size) EstimateBatching() Batching {
	t := s.configuration()
	p := shuntfleet.NewPlacement(t)
	owner := map[string]string{}
	load := map[string]int{}
	cells := map[string]bool{}
	for _, v := range t.Fleet().VMs {
		cells[v.Cell] = true
	}
	for c := range cells {
		for id, vm := range p.Assign(c, func(shuntconfig.VM) bool { return true }) {
			owner[id] = vm
			load[vm]++
		}
	}
	b := Batching{MeanServers: float64(len(owner)) / float64(s.VMs)}
	for _, n := range load {
		b.MaxServers = max(b.MaxServers, n)
	}
	r := rand.New(rand.NewPCG(1, 1))
	queries := 0
	for _, w := range t.Workspaces() {
		plan := t.Plan(w)
		if plan == nil {
			continue
		}
		vms := map[string]bool{}
		for _, h := range plan.Snapshots[0].Shards {
			vms[owner[h.Replicas[r.IntN(len(h.Replicas))].ID()]] = true
		}
		b.Owners += float64(len(vms))
		b.Unbatched += float64(len(plan.Snapshots[0].Shards))
		queries++
	}
	b.Owners /= float64(queries)
	b.Unbatched /= float64(queries)
	return b
}

// Lines computes the capacity table of a size from the slopes.
func (s Size) Lines(slopes Slopes) []Line {
	b := s.EstimateBatching()
	var out []Line
	out = append(out, s.trafficLines(slopes, b)...)
	out = append(out, s.controlLines(slopes)...)
	out = append(out, s.platformLines()...)
	return append(out, s.failureLines(slopes, b)...)
}

func newLine(role, quantity, value, mechanism string) Line {
	return Line{Role: role, Quantity: quantity, Value: value, Mechanism: mechanism}
}

func (s Size) trafficLines(slopes Slopes, b Batching) []Line {
	queriesPerVM := float64(s.Queries) / float64(s.VMs)
	subRequests := queriesPerVM * float64(s.Shards)
	// Each batch is a message. Early replies roughly double their number.
	messages := queriesPerVM * b.Owners * 2
	cores := (queriesPerVM*slopes.QueryMicroseconds + subRequests*slopes.SubRequestMicroseconds + messages*slopes.BatchMicroseconds) / microsPerSecond
	unbatched := (queriesPerVM*slopes.QueryMicroseconds + subRequests*slopes.SubRequestMicroseconds + subRequests*slopes.BatchMicroseconds) / microsPerSecond
	inFlight := subRequests * s.LatencyMilliseconds / 1000
	traffic := newLine("entry and owner", "CPU", fmt.Sprintf("%.2f cores", cores), "one message to each owner VM; early replies share messages")
	if cores > 2 {
		traffic.Warning = fmt.Sprintf("more than 2 cores: VMs of %.0f cores, or fewer CPU microseconds a sub-request (a leaner backend protocol)", cores*1.5+0.5)
	}
	connectionBytes := float64(s.VMs-1) * slopes.PeerBytes / 2 * 2
	connections := newLine("entry and owner", "memory of connections between VMs", fmt.Sprintf("%.0f MB for %d connections each way", connectionBytes/megabyte, s.VMs-1), "one connection to each VM asked within 30 s")
	if connectionBytes > 128*megabyte {
		connections.Warning = "above 128 MB: narrower affinity of workspaces to cells, so that a VM asks fewer others"
	}
	return []Line{
		newLine("entry", "queries", fmt.Sprintf("%.0f/s a VM", queriesPerVM), "callers choose among the addresses of /v1/entries"),
		newLine("entry", "sub-requests", fmt.Sprintf("%.0f/s a VM", subRequests), "scatter, one attempt a shard; hedges 5%, retries 10% at most"),
		newLine("entry", "messages a query", fmt.Sprintf("%.0f owners; %.0f without batching", b.Owners, b.Unbatched), fmt.Sprintf("batches by owner; workspaces in %d affinity buckets over the cells", shuntfleet.AffinityBuckets)),
		traffic,
		newLine("entry and owner", "CPU without batching", fmt.Sprintf("%.2f cores", unbatched), "for comparison"),
		newLine("entry and owner", "memory in flight", fmt.Sprintf("%.0f MB for %.0f sub-requests", inFlight*slopes.InFlightBytes/megabyte, inFlight), "admission limits, bounded queues"),
		connections,
		newLine("owner", "backend servers", fmt.Sprintf("%.1f a VM, at most %d", b.MeanServers, b.MaxServers), "rendezvous hash by cell, bounded loads within it"),
		newLine("owner", "connections to one backend server", "at most half of its cap", "one owner; the other half is for the next one"),
	}
}

// heartbeatRate is the number of heartbeats that a VM sends per second.
func (s Size) heartbeatRate() float64 { return float64(s.CellVMs-1)*cellBeatRate + remoteBeatRate }

// cellServers is the mean number of backend servers on which a cell has leases.
func (s Size) cellServers() float64 { return float64(s.Servers) * float64(s.CellVMs) / float64(s.VMs) }

func (s Size) controlLines(slopes Slopes) []Line {
	changes := float64(s.Changes) / secondsPerDay
	cpu := slopes.IdleMicroseconds + s.heartbeatRate()*slopes.BeatMicroseconds + s.cellServers()*slopes.ServerMicroseconds +
		changes*slopes.ChangeMicroseconds*float64(s.Servers)
	// Each VM sends heartbeats and answers as many from other VMs.
	bytes := 2*s.heartbeatRate()*slopes.BeatBytes + changes*2*typicalDocumentBytes
	memory := float64(s.Keys)*slopes.DocumentBytes + float64(s.Servers)*serverStatsBytes
	cpuLine := newLine("fleet member", "CPU", fmt.Sprintf("%.2f%% of a core", cpu/microsPerSecond*100), "heartbeats twice a second within the cell, one a second outside")
	cpuLine.Warning = warnIf(cpu/microsPerSecond > 0.025, "above 2.5%: smaller cells")
	bytesLine := newLine("fleet member", "bytes", fmt.Sprintf("%.1f KB/s", bytes/1000), "lists of wanted leases are sent only when they change; digests stand for the configuration")
	bytesLine.Warning = warnIf(bytes > 9000, "above 9 KB/s: smaller cells")
	memoryLine := newLine("fleet member", "memory", fmt.Sprintf("%.1f MB for %d documents and %d servers", memory/megabyte, s.Keys, s.Servers), "one immutable tree; 700 bytes a service for latencies")
	memoryLine.Warning = warnIf(memory > 32*megabyte, "above 32 MB: keep only the plans of workspaces asked for")
	return []Line{
		newLine("fleet member", "state", fmt.Sprintf("%.0f promises, %d VMs heard twice a second, %d known", s.cellServers(), s.CellVMs-1, s.VMs-1), "majority leases in memory, by cell"),
		newLine("fleet member", "messages", fmt.Sprintf("%.0f heartbeats/s sent, as many answered", s.heartbeatRate()), fmt.Sprintf("cells of %d: %d of them", s.CellVMs, (s.VMs+s.CellVMs-1)/s.CellVMs)),
		cpuLine, bytesLine, memoryLine,
		newLine("fleet member", "one change of configuration", fmt.Sprintf("%.0f ms CPU a VM, %.2f changes/min", slopes.ChangeMicroseconds*float64(s.Servers)/1000, changes*60), "a change moves its document only; placement is worked out anew"),
	}
}

const (
	// typicalDocumentBytes is the size of a typical document.
	typicalDocumentBytes = 2000
	// serverStatsBytes is the size of the statistics that an entry keeps for one
	// backend server, including its share of the latencies of the service.
	serverStatsBytes = 600
)

// warnIf returns text if exceeded is true, and otherwise the empty string.
func warnIf(exceeded bool, text string) string {
	if exceeded {
		return text
	}
	return ""
}

func (s Size) platformLines() []Line {
	vms := float64(s.VMs)
	idle := vms/watchSeconds + vms/vmListSeconds
	changes := float64(s.Changes) / secondsPerDay * vms * 2
	startup := vms*startupCalls + float64(s.Keys)
	withoutSharing := vms * (startupCalls + float64(s.Keys))
	replaced := float64(s.Replacements) / secondsPerDay * startupCalls
	steady := idle + changes + replaced
	readsLine := newLine("configuration reader", "platform reads", fmt.Sprintf("%.0f/s of %d/s", steady, s.PlatformReads), "one watch a VM; VM list every 10 to 20 s; a replaced VM has its documents from others")
	readsLine.Warning = warnIf(steady > float64(s.PlatformReads)/2, "above half of the platform's rate: fewer VMs of a cell watch")
	return []Line{
		readsLine,
		newLine("configuration reader", "whole fleet restarts", fmt.Sprintf("%.0f reads, %.1f s at the platform's rate; %.0f s if each VM read everything", startup, startup/float64(s.PlatformReads), withoutSharing/float64(s.PlatformReads)), "each VM reads its share by hash, the rest spreads between VMs"),
		newLine("configuration reader", "one change", fmt.Sprintf("%.0f reads, %.1f s at the platform's rate", 2*vms, 2*vms/float64(s.PlatformReads)), "each VM reads the changed key and watches again; target 10 s"),
	}
}

// partitionLine describes what happens when regions are partitioned.
func (s Size) partitionLine() Line {
	if s.CellVMs < s.VMs {
		return newLine("regions apart", "leases", "kept: cells lie within a region", "each region answers from its own replicas, and says which shards it lacks")
	}
	return newLine("regions apart", "leases", "kept by the side with a majority of the cell, if there is one",
		"the others go on at warm servers, each VM with its share of the window over connections that it has")
}

func (s Size) failureLines(slopes Slopes, b Batching) []Line {
	lost := float64(s.VMs) / float64(s.Zones)
	remaining := float64(s.VMs) - lost
	queriesPerVM := float64(s.Queries) / remaining
	cores := (queriesPerVM*slopes.QueryMicroseconds + queriesPerVM*float64(s.Shards)*slopes.SubRequestMicroseconds + queriesPerVM*b.Owners*2*slopes.BatchMicroseconds) / microsPerSecond
	cpu := newLine("zone lost at peak", "CPU of the others", fmt.Sprintf("%.2f cores", cores), "load spreads over all entry VMs that are heard")
	cpu.Warning = warnIf(cores > 2, "as above")
	return []Line{
		newLine("zone lost at peak", "VMs and servers gone", fmt.Sprintf("%.0f VMs, %.0f backend servers", lost, float64(s.Servers)/float64(s.Zones)), "other replicas; retries within the budget"),
		cpu,
		newLine("zone lost at peak", "servers without an owner", fmt.Sprintf("at most %.1f s", maxTakeoverSeconds), "leases of 2 s run out; a cell spans the zones of a region, so a majority is left"),
		s.partitionLine(),
		newLine("VM fails or is replaced", "per day", fmt.Sprintf("%d and %d: one every %.0f s", s.Failures, s.Replacements, secondsPerDay/float64(s.Failures+s.Replacements)), "a planned leave hands leases and state over; a failure waits for the lease"),
	}
}
