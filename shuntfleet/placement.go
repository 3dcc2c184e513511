package shuntfleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
)

const (
	// AffinityBuckets is the number of groups that the services of a workspace
	// are divided into. The servers of one group are placed in the same cell,
	// so a workspace spreads over some of the cells but not all of them. With
	// fewer buckets a query needs fewer messages; with more buckets the load is
	// distributed more evenly over the cells.
	AffinityBuckets = 8
	// A VM should own at most loadSlackNumerator/loadSlackDenominator times the
	// average number of servers per VM of its cell.
	loadSlackNumerator   = 5
	loadSlackDenominator = 4
)

// Resource identifies a backend server in lease messages. It is a hash of the
// server's ID, which keeps these frequent messages small.
type Resource uint64

// ResourceOf returns the Resource of the backend server with the given ID.
func ResourceOf(server string) Resource { return Resource(xxhash.Sum64String(server)) }

// Placement determines which cell each backend server belongs to and which VMs
// of that cell are preferred as its owner. It depends on the configuration
// alone. The actual owner is determined by leases, so a VM with a different
// configuration asks the wrong VM at worst.
type Placement struct {
	cells   map[string][]shuntconfig.VM
	servers map[string]serverPlacement
	byCell  map[string][]string
	ids     map[Resource]string
}

type serverPlacement struct {
	cell string
	zone string
	// group is the same for servers that should preferably have the same owner.
	group string
}

// NewPlacement computes the placement of all servers of t.
func NewPlacement(t *shuntconfig.Tree) *Placement {
	p := &Placement{
		cells:   map[string][]shuntconfig.VM{},
		servers: map[string]serverPlacement{},
		byCell:  map[string][]string{},
		ids:     map[Resource]string{},
	}
	f := t.Fleet()
	for _, v := range f.VMs {
		p.cells[v.Cell] = append(p.cells[v.Cell], v)
	}
	workspaces := firstWorkspaces(t)
	cellsFor := candidateCells(f)
	for id, s := range t.Servers() {
		group := affinityGroup(workspaces[s.Service], s.Service)
		cell := chooseNode(cellsFor(s.Zone), group)
		p.servers[id] = serverPlacement{cell: cell, zone: s.Zone, group: group}
		p.byCell[cell] = append(p.byCell[cell], id)
		p.ids[ResourceOf(id)] = id
	}
	for _, ids := range p.byCell {
		slices.Sort(ids)
	}
	return p
}

// firstWorkspaces returns the first workspace that uses each service.
func firstWorkspaces(t *shuntconfig.Tree) map[string]string {
	out := map[string]string{}
	for _, n := range t.Workspaces() {
		plan := t.Plan(n)
		if plan == nil {
			continue
		}
		for _, s := range plan.Workspace.Services {
			if _, ok := out[s]; !ok {
				out[s] = n
			}
		}
	}
	return out
}

func affinityGroup(workspace, service string) string {
	if workspace == "" {
		return service
	}
	return workspace + "/" + string(rune('A'+xxhash.Sum64String(service)%AffinityBuckets))
}

// candidateCells returns a function that lists the cells for servers of a zone:
// those with a VM in the zone, otherwise those with a VM in its region,
// otherwise all.
func candidateCells(f shuntconfig.Fleet) func(zone string) []string {
	byZone := map[string][]string{}
	byRegion := map[string][]string{}
	var all []string
	add := func(m map[string][]string, k, cell string) {
		if !slices.Contains(m[k], cell) {
			m[k] = append(m[k], cell)
		}
	}
	for _, v := range f.VMs {
		z, _ := f.Zone(v.Zone)
		add(byZone, v.Zone, v.Cell)
		add(byRegion, z.Region, v.Cell)
		if !slices.Contains(all, v.Cell) {
			all = append(all, v.Cell)
		}
	}
	return func(zone string) []string {
		if cs := byZone[zone]; len(cs) > 0 {
			return cs
		}
		z, _ := f.Zone(zone)
		if cs := byRegion[z.Region]; len(cs) > 0 {
			return cs
		}
		return all
	}
}

func weight(key, node string) uint64 {
	var h xxhash.Digest
	_, _ = h.WriteString(node)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(key)
	return h.Sum64()
}

// chooseNode returns the node with the highest weight for key (rendezvous
// hashing).
func chooseNode(nodes []string, key string) string {
	var best string
	var maxWeight uint64
	for _, n := range nodes {
		if w := weight(key, n); best == "" || w > maxWeight || (w == maxWeight && n < best) {
			best, maxWeight = n, w
		}
	}
	return best
}

// Cell returns the cell of a server, or "" if the server is unknown.
func (p *Placement) Cell(server string) string { return p.servers[server].cell }

// Voters returns the VMs of a cell, which all vote on its leases. The caller
// must not change the slice.
func (p *Placement) Voters(cell string) []shuntconfig.VM { return p.cells[cell] }

// Servers returns the IDs of a cell's servers in ascending order. The caller
// must not change the slice.
func (p *Placement) Servers(cell string) []string { return p.byCell[cell] }

// Server returns the ID of the server that r identifies, or false if it is
// unknown.
func (p *Placement) Server(r Resource) (string, bool) {
	id, ok := p.ids[r]
	return id, ok
}

// Assign returns the VM that should own each server of a cell, given which of
// the cell's VMs are eligible. Servers of the same zone and group go to the
// same VM, preferably one in their zone, as long as it does not exceed its
// maximum number of servers.
func (p *Placement) Assign(cell string, eligible func(shuntconfig.VM) bool) map[string]string {
	var vms []shuntconfig.VM
	for _, v := range p.cells[cell] {
		if eligible(v) {
			vms = append(vms, v)
		}
	}
	out := make(map[string]string, len(p.byCell[cell]))
	if len(vms) == 0 {
		return out
	}
	n := len(p.byCell[cell])
	maxServers := (n*loadSlackNumerator + len(vms)*loadSlackDenominator - 1) / (len(vms) * loadSlackDenominator)
	load := map[string]int{}
	ranks := map[serverPlacement][]string{}
	for _, id := range p.byCell[cell] {
		s := p.servers[id]
		r, ok := ranks[s]
		if !ok {
			r = rankVMs(vms, s)
			ranks[s] = r
		}
		v := firstBelowMax(r, load, maxServers)
		load[v]++
		out[id] = v
	}
	return out
}

// rankVMs returns the names of the VMs in the order of preference for a server:
// VMs of its zone first, then by rendezvous weight.
func rankVMs(vms []shuntconfig.VM, s serverPlacement) []string {
	type ranked struct {
		name     string
		sameZone bool
		weight   uint64
	}
	rs := make([]ranked, len(vms))
	for i, v := range vms {
		rs[i] = ranked{v.Name, v.Zone == s.zone, weight(s.group+"/"+s.zone, v.Name)}
	}
	slices.SortFunc(rs, func(a, b ranked) int {
		if a.sameZone != b.sameZone {
			if a.sameZone {
				return -1
			}
			return 1
		}
		if c := cmp.Compare(b.weight, a.weight); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
	out := make([]string, len(rs))
	for i, r := range rs {
		out[i] = r.name
	}
	return out
}

func firstBelowMax(vms []string, load map[string]int, maxServers int) string {
	for _, v := range vms {
		if load[v] < maxServers {
			return v
		}
	}
	return vms[0]
}
