package shuntfleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
)

const (
	// AffinityBuckets splits the servers of one workspace, so that they spread
	// over some cells but not over all of them. Fewer buckets mean fewer
	// messages a query, more buckets a more even load of the cells.
	AffinityBuckets = 8
	// loadSlack is how far above the average the number of servers that one VM
	// of a cell should own may lie.
	loadSlackNumerator   = 5
	loadSlackDenominator = 4
)

// Resource names a backend server in leases: a hash of its ID, which is all
// that the many small messages have to carry.
type Resource uint64

// ResourceOf returns the resource of a backend server.
func ResourceOf(server string) Resource { return Resource(xxhash.Sum64String(server)) }

// Placement is a pure function of the configuration: which cell each backend
// server belongs to, and in which order that cell's VMs should own it. Whether
// they do is decided by leases alone; a VM with another view of the fleet asks
// the wrong VM at worst.
type Placement struct {
	cells   map[string][]shuntconfig.VM
	servers map[string]placed
	byCell  map[string][]string
	ids     map[Resource]string
}

type placed struct {
	cell string
	zone string
	// group is shared by servers that are best owned together.
	group string
}

// NewPlacement works out the placement of all servers of t.
func NewPlacement(t *shuntconfig.Tree) *Placement {
	p := &Placement{
		cells:   map[string][]shuntconfig.VM{},
		servers: map[string]placed{},
		byCell:  map[string][]string{},
		ids:     map[Resource]string{},
	}
	f := t.Fleet()
	for _, v := range f.VMs {
		p.cells[v.Cell] = append(p.cells[v.Cell], v)
	}
	first := firstWorkspaces(t)
	near := nearCells(f)
	for id, s := range t.Servers() {
		group := groupOf(first[s.Service], s.Service)
		cell := choose(near(s.Zone), group)
		p.servers[id] = placed{cell: cell, zone: s.Zone, group: group}
		p.byCell[cell] = append(p.byCell[cell], id)
		p.ids[ResourceOf(id)] = id
	}
	for _, ids := range p.byCell {
		slices.Sort(ids)
	}
	return p
}

// firstWorkspaces returns for each service the first workspace that uses it.
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

func groupOf(workspace, service string) string {
	if workspace == "" {
		return service
	}
	return workspace + "/" + string(rune('A'+xxhash.Sum64String(service)%AffinityBuckets))
}

// nearCells returns the cells for servers of a zone: those with a VM in the
// zone, else in its region, else all.
func nearCells(f shuntconfig.Fleet) func(zone string) []string {
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

// choose returns the node with the highest weight for key (rendezvous hashing).
func choose(nodes []string, key string) string {
	var best string
	var top uint64
	for _, n := range nodes {
		if w := weight(key, n); best == "" || w > top || (w == top && n < best) {
			best, top = n, w
		}
	}
	return best
}

// Cell returns the cell of a server; "" for an unknown one.
func (p *Placement) Cell(server string) string { return p.servers[server].cell }

// Voters returns the VMs of a cell. The caller must not change the slice.
func (p *Placement) Voters(cell string) []shuntconfig.VM { return p.cells[cell] }

// Servers returns the IDs of a cell's servers in order. The caller must not
// change the slice.
func (p *Placement) Servers(cell string) []string { return p.byCell[cell] }

// Server returns the server of a resource.
func (p *Placement) Server(r Resource) (string, bool) {
	id, ok := p.ids[r]
	return id, ok
}

// Assign returns which VM should own each server of a cell, given those of its
// VMs that may own any. Servers of one group go to one VM of their own zone, as
// long as no VM gets more than its share with some slack.
func (p *Placement) Assign(cell string, may func(shuntconfig.VM) bool) map[string]string {
	var vms []shuntconfig.VM
	for _, v := range p.cells[cell] {
		if may(v) {
			vms = append(vms, v)
		}
	}
	out := make(map[string]string, len(p.byCell[cell]))
	if len(vms) == 0 {
		return out
	}
	n := len(p.byCell[cell])
	most := (n*loadSlackNumerator + len(vms)*loadSlackDenominator - 1) / (len(vms) * loadSlackDenominator)
	load := map[string]int{}
	ranks := map[placed][]string{}
	for _, id := range p.byCell[cell] {
		s := p.servers[id]
		r, ok := ranks[s]
		if !ok {
			r = rank(vms, s)
			ranks[s] = r
		}
		v := firstBelow(r, load, most)
		load[v]++
		out[id] = v
	}
	return out
}

// rank orders the VMs for a server: its zone's first, then by weight.
func rank(vms []shuntconfig.VM, s placed) []string {
	type ranked struct {
		name string
		near bool
		w    uint64
	}
	rs := make([]ranked, len(vms))
	for i, v := range vms {
		rs[i] = ranked{v.Name, v.Zone == s.zone, weight(s.group+"/"+s.zone, v.Name)}
	}
	slices.SortFunc(rs, func(a, b ranked) int {
		if a.near != b.near {
			if a.near {
				return -1
			}
			return 1
		}
		if c := cmp.Compare(b.w, a.w); c != 0 {
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

func firstBelow(vms []string, load map[string]int, most int) string {
	for _, v := range vms {
		if load[v] < most {
			return v
		}
	}
	return vms[0]
}
