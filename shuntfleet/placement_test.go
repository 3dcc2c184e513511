package shuntfleet

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
)

func init() {
	// A fixed seed makes every run draw the same cases.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// placementTree returns a configuration with the given numbers of cells, VMs,
// servers and zones.
func newPlacementTree(cells, vms, servers, zones int) *shuntconfig.Tree {
	var f shuntconfig.Fleet
	for z := range zones {
		f.Zones = append(f.Zones, shuntconfig.Zone{Name: fmt.Sprintf("z%d", z), Region: "r", InService: true})
	}
	for i := range vms {
		f.VMs = append(f.VMs, shuntconfig.VM{
			Name: fmt.Sprintf("vm%d", i), Zone: fmt.Sprintf("z%d", i%zones), Cell: fmt.Sprintf("c%d", i%cells), InService: true,
			CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2", OperatorAddress: "10.0.0.1:3",
		})
	}
	docs := []shuntconfig.Document{{Key: shuntconfig.FleetKey, Version: 1, Body: shuntconfig.EncodeFleet(f)}}
	for i := range servers {
		s := shuntconfig.Service{
			Name: fmt.Sprintf("s%d", i), Slots: 1, Connections: 2, InitialSlots: 1, WarmStepRequests: 1,
			Servers:   []shuntconfig.Server{{Name: "r", Address: "10.0.0.2:1", Zone: fmt.Sprintf("z%d", i%zones)}},
			Snapshots: []shuntconfig.Snapshot{{ID: shuntconfig.SnapshotID{Version: 1}, Shards: []shuntconfig.Shard{{Name: "a", Servers: []string{"r"}}}}},
		}
		docs = append(docs, shuntconfig.Document{Key: shuntconfig.MakeKey(shuntconfig.KindService, s.Name), Version: 1, Body: shuntconfig.EncodeService(s)})
	}
	return shuntconfig.NewTree().With(docs...)
}

// TestAssign checks that every server of a cell is assigned to a VM, that no VM
// exceeds its maximum number of servers, and that two placements of the same
// configuration agree.
func TestAssign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cells := rapid.IntRange(1, 4).Draw(t, "cells")
		tree := newPlacementTree(cells, cells*rapid.IntRange(1, 6).Draw(t, "vms a cell"), rapid.IntRange(1, 80).Draw(t, "servers"), rapid.IntRange(1, 4).Draw(t, "zones"))
		excluded := rapid.IntRange(0, 30).Draw(t, "the VM that may not own")
		eligible := func(v shuntconfig.VM) bool { return v.Name != fmt.Sprintf("vm%d", excluded) }
		p, q := NewPlacement(tree), NewPlacement(tree)
		placed := 0
		for c := range cells {
			cell := fmt.Sprintf("c%d", c)
			checkAssign(t, p, q, cell, eligible)
			placed += len(p.Servers(cell))
		}
		if placed != len(tree.Servers()) {
			t.Fatalf("%d of %d servers are placed in a cell", placed, len(tree.Servers()))
		}
	})
}

func checkAssign(t *rapid.T, p, q *Placement, cell string, eligible func(shuntconfig.VM) bool) {
	a, b := p.Assign(cell, eligible), q.Assign(cell, eligible)
	eligibleVMs := 0
	for _, v := range p.Voters(cell) {
		if eligible(v) {
			eligibleVMs++
		}
	}
	if eligibleVMs == 0 {
		return
	}
	load := map[string]int{}
	for _, id := range p.Servers(cell) {
		if a[id] == "" || a[id] != b[id] {
			t.Fatalf("%s is assigned to %q and to %q", id, a[id], b[id])
		}
		load[a[id]]++
	}
	n := len(p.Servers(cell))
	for vm, l := range load {
		if maxServers := n*loadSlackNumerator/(eligibleVMs*loadSlackDenominator) + 1; l > maxServers {
			t.Fatalf("%s has %d of %d servers among %d VMs; want at most %d", vm, l, n, eligibleVMs, maxServers)
		}
	}
}

// TestMayHaveDisjointMajorities checks that two lists of voters are reported
// exactly if each of them can have a majority without a common voter.
func TestMayHaveDisjointMajorities(t *testing.T) {
	cases := map[string]struct {
		before, after []string
		want          bool
	}{
		"first list":        {nil, []string{"a"}, false},
		"the same":          {[]string{"a", "b", "c"}, []string{"a", "b", "c"}, false},
		"one added":         {[]string{"a", "b", "c"}, []string{"a", "b", "c", "d"}, false},
		"one taken":         {[]string{"a", "b", "c"}, []string{"a", "b"}, false},
		"one of 3 replaced": {[]string{"a", "b", "c"}, []string{"a", "b", "d"}, true},
		"one of 6 replaced": {[]string{"a", "b", "c", "d", "e", "f"}, []string{"a", "b", "c", "d", "e", "g"}, false},
		"all replaced":      {[]string{"a", "b"}, []string{"c", "d"}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := mayHaveDisjointMajorities(c.before, c.after); got != c.want {
				t.Errorf("got %t; want %t", got, c.want)
			}
		})
	}
}
