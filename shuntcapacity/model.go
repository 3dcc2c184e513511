package shuntcapacity

import (
	"fmt"
	"math/rand/v2"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntfleet"
)

// Size is the size of a fleet and its load.
type Size struct {
	VMs, Servers, Zones, Regions int
	// Queries are per second, Shards per query.
	Queries, Shards int
	// Changes, Failures and Replacements are per day.
	Changes, Failures, Replacements int
	// CellVMs is the number of VMs in a cell.
	CellVMs int
	// PlatformReads is what the platform answers a second, to all readers.
	PlatformReads int
	// Keys is the number of published documents.
	Keys int
	// LatencyMilliseconds is how long a sub-request is in flight on average.
	LatencyMilliseconds float64
}

// Target is the size that the design is made for.
func Target() Size {
	return Size{
		VMs: 870, Servers: 5900, Zones: 9, Regions: 3,
		Queries: 210_000, Shards: 210,
		Changes: 2200, Failures: 18, Replacements: 1700,
		CellVMs: 12, PlatformReads: 2000, Keys: 3000, LatencyMilliseconds: 30,
	}
}

// Today is the size of one of today's users.
func Today() Size {
	return Size{
		VMs: 6, Servers: 110, Zones: 3, Regions: 3,
		Queries: 200, Shards: 20,
		Changes: 50, Failures: 1, Replacements: 12,
		CellVMs: 6, PlatformReads: 2000, Keys: 60, LatencyMilliseconds: 20,
	}
}

const (
	secondsADay    = 86_400
	beatsASecond   = 2
	farASecond     = 1
	watchSeconds   = 30
	listSeconds    = 15
	replicasAShard = 2
	// bootCalls are a VM's calls at its start besides documents: the list of
	// keys, the Fleet document, the VM list and the first watch.
	bootCalls = 4
	microsA   = 1e6
	megabyte  = 1 << 20
	// takeoverSeconds is the longest time that a server is without an owner
	// after its owner died: unheard, promise, heartbeat.
	takeoverSeconds = 1.6 + 2 + 0.5
)

// Line is one line of the capacity table.
type Line struct {
	Role, Quantity, Value, Mechanism string
	// Warning says that the line does not fit and what would make it fit.
	Warning string
}

// Batching is how many messages a query takes.
type Batching struct {
	// Owners is the number of VMs that a query is sent to, Unbatched the
	// number of messages if each sub-request were one.
	Owners, Unbatched float64
	// MaxServers and MeanServers are the servers of one VM.
	MaxServers  int
	MeanServers float64
}

// estate makes the documents of a fleet of this size: workspaces of as many
// services as a query has shards, replicas in zones by turns.
func (s Size) estate() *shuntconfig.Tree {
	f := shuntconfig.Fleet{}
	for z := range s.Zones {
		f.Zones = append(f.Zones, shuntconfig.Zone{Name: fmt.Sprintf("z%d", z), Region: fmt.Sprintf("r%d", z%s.Regions), InService: true})
	}
	for i := range s.VMs {
		// The VMs of a cell stand in the zones of one region, by turns.
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
	return shuntconfig.NewTree().With(append(docs, s.services()...)...)
}

func (s Size) services() []shuntconfig.Document {
	var docs []shuntconfig.Document
	var names string
	n, inWorkspace := 0, 0
	flush := func() {
		docs = append(docs, shuntconfig.Document{
			Key: shuntconfig.MakeKey(shuntconfig.KindWorkspace, fmt.Sprintf("w%03d", len(docs))), Version: 1,
			Body: []byte("Template = \"t\"\n[Parameters]\nServices = [" + names + "]\n"),
		})
		names, inWorkspace = "", 0
	}
	for n < s.Servers {
		name := fmt.Sprintf("s%05d", n)
		v := shuntconfig.Service{Name: name, Slots: 2, Connections: 25, InitialSlots: 1, WarmStepRequests: 4}
		h := shuntconfig.Shard{Name: "all"}
		for r := range min(replicasAShard, s.Servers-n) {
			server := fmt.Sprintf("r%d", r)
			v.Servers = append(v.Servers, shuntconfig.Server{Name: server, Address: "10.0.0.2:1", Zone: fmt.Sprintf("z%d", (n/replicasAShard+r*(s.Zones/s.Regions+1))%s.Zones)})
			h.Servers = append(h.Servers, server)
		}
		v.Snapshots = []shuntconfig.Snapshot{{ID: shuntconfig.SnapshotID{Version: 1, Generation: 1}, Shards: []shuntconfig.Shard{h}}}
		docs = append(docs, shuntconfig.Document{Key: shuntconfig.MakeKey(shuntconfig.KindService, name), Version: 1, Body: shuntconfig.EncodeService(v)})
		if names != "" {
			names += ", "
		}
		names += fmt.Sprintf("%q", name)
		n += len(v.Servers)
		if inWorkspace++; inWorkspace == s.Shards {
			flush()
		}
	}
	if inWorkspace > 0 {
		flush()
	}
	return docs
}

// EstimateBatching places the servers of a fleet of this size as the fleet itself does,
// and counts the VMs that queries go to.
func (s Size) EstimateBatching() Batching {
	t := s.estate()
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

// Lines works out the capacity table of a size from slopes.
func (s Size) Lines(x Slopes) []Line {
	b := s.EstimateBatching()
	var out []Line
	out = append(out, s.trafficLines(x, b)...)
	out = append(out, s.controlLines(x)...)
	out = append(out, s.platformLines()...)
	return append(out, s.failureLines(x, b)...)
}

func line(role, what, value, mechanism string) Line {
	return Line{Role: role, Quantity: what, Value: value, Mechanism: mechanism}
}

func (s Size) trafficLines(x Slopes, b Batching) []Line {
	perVM := float64(s.Queries) / float64(s.VMs)
	subs := perVM * float64(s.Shards)
	// A message is a batch; early replies roughly double it.
	messages := perVM * b.Owners * 2
	cores := (perVM*x.QueryMicroseconds + subs*x.SubRequestMicroseconds + messages*x.BatchMicroseconds) / microsA
	unbatched := (perVM*x.QueryMicroseconds + subs*x.SubRequestMicroseconds + subs*x.BatchMicroseconds) / microsA
	inFlight := subs * s.LatencyMilliseconds / 1000
	traffic := line("entry and owner", "CPU", fmt.Sprintf("%.2f cores", cores), "one message to each owner VM; early replies share messages")
	if cores > 2 {
		traffic.Warning = fmt.Sprintf("more than 2 cores: VMs of %.0f cores, or fewer CPU microseconds a sub-request (a leaner backend protocol)", cores*1.5+0.5)
	}
	links := float64(s.VMs-1) * x.PeerBytes / 2 * 2
	l := line("entry and owner", "memory of connections between VMs", fmt.Sprintf("%.0f MB for %d connections each way", links/megabyte, s.VMs-1), "one connection to each VM asked within 30 s")
	if links > 128*megabyte {
		l.Warning = "above 128 MB: narrower affinity of workspaces to cells, so that a VM asks fewer others"
	}
	return []Line{
		line("entry", "queries", fmt.Sprintf("%.0f/s a VM", perVM), "callers choose among the addresses of /v1/entries"),
		line("entry", "sub-requests", fmt.Sprintf("%.0f/s a VM", subs), "scatter, one attempt a shard; hedges 5%, retries 10% at most"),
		line("entry", "messages a query", fmt.Sprintf("%.0f owners; %.0f without batching", b.Owners, b.Unbatched), fmt.Sprintf("batches by owner; workspaces in %d affinity buckets over the cells", shuntfleet.AffinityBuckets)),
		traffic,
		line("entry and owner", "CPU without batching", fmt.Sprintf("%.2f cores", unbatched), "for comparison"),
		line("entry and owner", "memory in flight", fmt.Sprintf("%.0f MB for %.0f sub-requests", inFlight*x.InFlightBytes/megabyte, inFlight), "admission limits, bounded queues"),
		l,
		line("owner", "backend servers", fmt.Sprintf("%.1f a VM, at most %d", b.MeanServers, b.MaxServers), "rendezvous hash by cell, bounded loads within it"),
		line("owner", "connections to one backend server", "at most half of its cap", "one owner; the other half is for the next one"),
	}
}

func (s Size) beats() float64 { return float64(s.CellVMs-1)*beatsASecond + farASecond }

// cellServers is the number of servers that a cell has leases on.
func (s Size) cellServers() float64 { return float64(s.Servers) * float64(s.CellVMs) / float64(s.VMs) }

func (s Size) controlLines(x Slopes) []Line {
	changes := float64(s.Changes) / secondsADay
	cpu := x.IdleMicroseconds + s.beats()*x.BeatMicroseconds + s.cellServers()*x.ServerMicroseconds +
		changes*x.ChangeMicroseconds*float64(s.Servers)
	// Each VM sends its heartbeats and answers as many.
	bytes := 2*s.beats()*x.BeatBytes + changes*2*maxDocument
	memory := float64(s.Keys)*x.DocumentBytes + float64(s.Servers)*statsBytes
	c := line("fleet member", "CPU", fmt.Sprintf("%.2f%% of a core", cpu/microsA*100), "heartbeats twice a second within the cell, one a second outside")
	c.Warning = misfit(cpu/microsA > 0.025, "above 2.5%: smaller cells")
	y := line("fleet member", "bytes", fmt.Sprintf("%.1f KB/s", bytes/1000), "lists of wanted leases are sent only when they change; digests stand for the configuration")
	y.Warning = misfit(bytes > 9000, "above 9 KB/s: smaller cells")
	m := line("fleet member", "memory", fmt.Sprintf("%.1f MB for %d documents and %d servers", memory/megabyte, s.Keys, s.Servers), "one immutable tree; 700 bytes a service for latencies")
	m.Warning = misfit(memory > 32*megabyte, "above 32 MB: keep only the plans of workspaces asked for")
	return []Line{
		line("fleet member", "state", fmt.Sprintf("%.0f promises, %d VMs heard twice a second, %d known", s.cellServers(), s.CellVMs-1, s.VMs-1), "majority leases in memory, by cell"),
		line("fleet member", "messages", fmt.Sprintf("%.0f heartbeats/s sent, as many answered", s.beats()), fmt.Sprintf("cells of %d: %d of them", s.CellVMs, (s.VMs+s.CellVMs-1)/s.CellVMs)),
		c, y, m,
		line("fleet member", "one change of configuration", fmt.Sprintf("%.0f ms CPU a VM, %.2f changes/min", x.ChangeMicroseconds*float64(s.Servers)/1000, changes*60), "a change moves its document only; placement is worked out anew"),
	}
}

const (
	// maxDocument is the size of a usual document, in bytes.
	maxDocument = 2000
	// statsBytes is what an entry keeps of one backend server, and its share
	// of its service's latencies.
	statsBytes = 600
)

func misfit(bad bool, text string) string {
	if bad {
		return text
	}
	return ""
}

func (s Size) platformLines() []Line {
	vms := float64(s.VMs)
	idle := vms/watchSeconds + vms/listSeconds
	changes := float64(s.Changes) / secondsADay * vms * 2
	boot := vms*bootCalls + float64(s.Keys)
	naive := vms * (bootCalls + float64(s.Keys))
	replaced := float64(s.Replacements) / secondsADay * bootCalls
	steady := idle + changes + replaced
	l := line("configuration reader", "platform reads", fmt.Sprintf("%.0f/s of %d/s", steady, s.PlatformReads), "one watch a VM; VM list every 10 to 20 s; a replaced VM has its documents from others")
	l.Warning = misfit(steady > float64(s.PlatformReads)/2, "above half of the platform's rate: fewer VMs of a cell watch")
	return []Line{
		l,
		line("configuration reader", "whole fleet restarts", fmt.Sprintf("%.0f reads, %.1f s at the platform's rate; %.0f s if each VM read everything", boot, boot/float64(s.PlatformReads), naive/float64(s.PlatformReads)), "each VM reads its share by hash, the rest spreads between VMs"),
		line("configuration reader", "one change", fmt.Sprintf("%.0f reads, %.1f s at the platform's rate", 2*vms, 2*vms/float64(s.PlatformReads)), "each VM reads the changed key and watches again; target 10 s"),
	}
}

// partedLine tells of regions that lose each other.
func (s Size) partedLine() Line {
	if s.CellVMs < s.VMs {
		return line("regions apart", "leases", "kept: cells lie within a region", "each region answers from its own replicas, and says which shards it lacks")
	}
	return line("regions apart", "leases", "kept by the side with a majority of the cell, if there is one",
		"the others go on at warm servers, each VM with its share of the window over connections that it has")
}

func (s Size) failureLines(x Slopes, b Batching) []Line {
	lost := float64(s.VMs) / float64(s.Zones)
	left := float64(s.VMs) - lost
	perVM := float64(s.Queries) / left
	cores := (perVM*x.QueryMicroseconds + perVM*float64(s.Shards)*x.SubRequestMicroseconds + perVM*b.Owners*2*x.BatchMicroseconds) / microsA
	cpu := line("zone lost at peak", "CPU of the others", fmt.Sprintf("%.2f cores", cores), "load spreads over all entry VMs that are heard")
	cpu.Warning = misfit(cores > 2, "as above")
	return []Line{
		line("zone lost at peak", "VMs and servers gone", fmt.Sprintf("%.0f VMs, %.0f backend servers", lost, float64(s.Servers)/float64(s.Zones)), "other replicas; retries within the budget"),
		cpu,
		line("zone lost at peak", "servers without an owner", fmt.Sprintf("at most %.1f s", takeoverSeconds), "leases of 2 s run out; a cell spans the zones of a region, so a majority is left"),
		s.partedLine(),
		line("VM fails or is replaced", "per day", fmt.Sprintf("%d and %d: one every %.0f s", s.Failures, s.Replacements, secondsADay/float64(s.Failures+s.Replacements)), "a planned leave hands leases and state over; a failure waits for the lease"),
	}
}
