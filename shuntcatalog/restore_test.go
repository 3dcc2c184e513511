package shuntcatalog

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulberryshunt.example/mulberryshunt/shuntroute"
)

// take brings a catalog up to date with another one, as VMs do.
func take(to, from *Catalog, now time.Time) {
	d := from.ChangesSince(to.Revision())
	for i := range d.Unchanged {
		d.Unchanged[i].Value = nil
	}
	to.ApplyDelta(d, now)
}

// TestGhostServer checks that a VM learns of a removal from another VM that has never
// known the server: it has listed the records after the removal.
func TestGhostServer(t *testing.T) {
	cases := map[string]State{
		"a VM that has just started": {},
		"a VM that missed changes":   state(100, record(t, "s2", 100, shuntroute.Server{ID: "2", Service: "a"})),
	}
	for name, before := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			behind, ahead := newCatalog(), newCatalog()
			behind.Replace(state(150, record(t, "s1", 120, shuntroute.Server{ID: "1", Service: "a"}), record(t, "s2", 100, shuntroute.Server{ID: "2", Service: "a"})), now)
			ahead.Replace(before, now)
			ahead.Replace(state(200, record(t, "s2", 100, shuntroute.Server{ID: "2", Service: "a"})), now)
			take(behind, ahead, now)
			behind.Expire(now.Add(delistedGrace))
			if got := soleServer(t, behind).ID; got != "2" {
				t.Errorf("server %s is left; want 2", got)
			}
		})
	}
}

// TestRemovedAndBack checks that a server that was removed and has come back stays in use,
// in whichever order another VM tells the two changes.
func TestRemovedAndBack(t *testing.T) {
	now := time.Now()
	from, to := newCatalog(), newCatalog()
	server := shuntroute.Server{ID: "1", Service: "a"}
	for _, c := range []*Catalog{from, to} {
		c.Apply(state(5, record(t, "s1", 5, server)), now)
	}
	from.Apply(state(6, Record{Key: "s1", Revision: 6, Removed: true}), now)
	from.Apply(state(7, record(t, "s1", 7, server)), now)
	take(to, from, now)
	to.Expire(now.Add(delistedGrace))
	soleServer(t, to)
}

// modelStore is a store whose history may go back.
type modelStore struct {
	// era counts the restores. Revisions of later eras are higher.
	era, revision int64
	items         map[string]Record
	history       []Record
	copies        []modelStore
}

const modelEra = 1000

func (s *modelStore) now() int64 { return s.era*modelEra + s.revision }

func (s *modelStore) change(key string, removed bool) {
	s.revision++
	r := Record{Key: key, Revision: s.now(), Removed: removed}
	s.history = append(s.history, r)
	if delete(s.items, key); !removed {
		s.items[key] = r
	}
}

func (s *modelStore) copy() modelStore {
	return modelStore{revision: s.revision, items: maps.Clone(s.items)}
}

// restore makes the store go back to a copy. All its records have revisions of the new
// era.
func (s *modelStore) restore(c modelStore) {
	s.era, s.revision, s.items, s.history = s.era+1, c.revision, map[string]Record{}, nil
	for key, r := range c.items {
		s.items[key] = Record{Key: key, Revision: s.era*modelEra + r.Revision%modelEra}
	}
}

func (s *modelStore) list() State { return state(s.now(), slices.Collect(maps.Values(s.items))...) }

// watch returns the changes after a revision, or a listing if the store doesn't have them.
func (s *modelStore) watch(after int64) Delta {
	if after/modelEra != s.era || after == 0 {
		return Delta{State: s.list(), Full: true}
	}
	changes := slices.DeleteFunc(slices.Clone(s.history), func(r Record) bool { return r.Revision <= after })
	return Delta{State: state(s.now(), changes...)}
}

// TestCatalogsAgree checks that VMs that list, watch and take changes from each other, in
// any order, have the records of the store once they have its revision, also if the store
// goes back.
func TestCatalogsAgree(t *testing.T) {
	keys := []string{"zone1", "zone2", "zone3", "zone4"}
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Now()
		s := &modelStore{items: map[string]Record{}}
		vms := []*Catalog{newCatalog(), newCatalog(), newCatalog()}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			vm, other := rapid.SampledFrom(vms).Draw(rt, "VM"), rapid.SampledFrom(vms).Draw(rt, "other VM")
			key := rapid.SampledFrom(keys).Draw(rt, "key")
			switch rapid.IntRange(0, 8).Draw(rt, "step") {
			case 0, 1:
				s.change(key, false)
			case 2:
				s.change(key, true)
			case 3:
				s.copies = append(s.copies, s.copy())
			case 4:
				if len(s.copies) > 0 {
					s.restore(rapid.SampledFrom(s.copies).Draw(rt, "copy"))
				}
			case 5:
				vm.Replace(s.list(), now)
			case 6:
				vm.ApplyDelta(s.watch(vm.Revision()), now)
			default:
				take(vm, other, now)
			}
			checkRecords(rt, s, vms)
		}
	})
}

// checkRecords checks the VMs that have the store's revision.
func checkRecords(rt *rapid.T, s *modelStore, vms []*Catalog) {
	for i, vm := range vms {
		if vm.Revision() != s.now() {
			continue
		}
		got, want := slices.Sorted(maps.Keys(vm.records)), slices.Sorted(maps.Keys(s.items))
		if !slices.Equal(got, want) {
			rt.Fatalf("VM %d has the records %v at revision %d; want %v", i, got, vm.Revision(), want)
		}
	}
}

// TestDrainedServerBack checks which reports bring a server back that has drained and
// left. A restored store may have an earlier one.
func TestDrainedServerBack(t *testing.T) {
	report := func(start, sequence int64, draining bool) shuntroute.Server {
		return shuntroute.Server{ID: "1", Service: "a", StartMillis: start, Sequence: sequence, Draining: draining}
	}
	cases := map[string]struct {
		report shuntroute.Server
		after  time.Duration
		used   bool
	}{
		"earlier":          {report(10, 4, false), 0, false},
		"draining":         {report(10, 5, true), 0, false},
		"later":            {report(10, 6, false), 0, true},
		"next incarnation": {report(11, 0, false), 0, true},
		"long after":       {report(10, 4, false), drainedMemory, true},
	}
	for name, v := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			c := newCatalog()
			c.Apply(state(1, record(t, "s1", 1, report(10, 5, true))), now)
			c.Apply(state(2, Record{Key: "s1", Revision: 2, Removed: true}), now)
			now = now.Add(delistedGrace + v.after)
			c.Expire(now)
			c.Expire(now)
			c.Replace(state(3, record(t, "s1", 3, v.report)), now)
			if used := len(c.View().Servers("a")) > 0; used != v.used {
				t.Errorf("in use: %v; want %v", used, v.used)
			}
			fresh := newCatalog()
			take(fresh, c, now)
			if used := len(fresh.View().Servers("a")) > 0; used != v.used {
				t.Errorf("in use on a VM that takes this state: %v; want %v", used, v.used)
			}
		})
	}
}

// TestDelistedServerBack checks that a server whose entry was gone, and is there again
// with an earlier report, is in use: it may have nothing new to report.
func TestDelistedServerBack(t *testing.T) {
	now := time.Now()
	c := newCatalog()
	server := shuntroute.Server{ID: "1", Service: "a", StartMillis: 10, Sequence: 9}
	c.Apply(state(1, record(t, "s1", 1, server)), now)
	c.Apply(state(2, Record{Key: "s1", Revision: 2, Removed: true}), now)
	server.Sequence = 4
	c.Replace(state(3, record(t, "s1", 3, server)), now)
	c.Expire(now.Add(delistedGrace))
	if got := soleServer(t, c); !got.DelistedAt.IsZero() || got.Sequence != 9 {
		t.Errorf("got %+v; want the newest report, listed", got)
	}
}

// TestUnlistedZone checks that a zone stays out of service for the grace period if a
// listing lacks its entry, and comes back at once if the entry is removed.
func TestUnlistedZone(t *testing.T) {
	cases := map[string]struct {
		change func(c *Catalog, now time.Time)
		after  time.Duration
		out    bool
	}{
		"missing from a listing": {func(c *Catalog, now time.Time) { c.Replace(state(9), now) }, delistedGrace / 2, true},
		"still missing":          {func(c *Catalog, now time.Time) { c.Replace(state(9), now) }, delistedGrace, false},
		"written again": {func(c *Catalog, now time.Time) {
			c.Replace(state(9), now)
			c.Apply(state(10, Record{Key: "zone", Revision: 10}), now)
		}, delistedGrace, true},
		"removed": {func(c *Catalog, now time.Time) {
			c.Apply(state(9, Record{Key: "zone", Revision: 9, Removed: true}), now)
		}, 0, false},
		"missing, written again, removed": {func(c *Catalog, now time.Time) {
			c.Replace(state(9), now)
			c.Apply(state(11, Record{Key: "zone", Revision: 10}, Record{Key: "zone", Revision: 11, Removed: true}), now)
		}, 0, false},
		"missing from two listings in turn": {func(c *Catalog, now time.Time) {
			c.Replace(state(9), now)
			c.Replace(state(10), now.Add(delistedGrace/2))
		}, delistedGrace, false},
	}
	for name, v := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			c := newCatalog()
			c.Replace(state(2, Record{Key: "zone", Revision: 1}, record(t, "s1", 2, shuntroute.Server{ID: "1", Service: "a", Zone: "zone"})), now)
			v.change(c, now)
			c.Apply(state(20, record(t, "s2", 20, shuntroute.Server{ID: "2", Service: "a", Zone: "zone"})), now)
			c.Expire(now.Add(v.after))
			if out := len(c.View().Servers("a")) == 0; out != v.out {
				t.Errorf("out of service: %v; want %v", out, v.out)
			}
		})
	}
}

// TestOlderContentNotHandedOn checks that a VM that has ignored older content of later
// revisions does not hand it to one that knows nothing.
func TestOlderContentNotHandedOn(t *testing.T) {
	now := time.Now()
	server := func(sequence int64, draining bool) shuntroute.Server {
		return shuntroute.Server{ID: "1", Service: "a", StartMillis: 10, Sequence: sequence, Draining: draining}
	}
	from, to := newCatalog(), newCatalog()
	from.Replace(state(5, record(t, "t", 4, 10), record(t, "s1", 5, server(8, true))), now)
	from.Replace(state(9, record(t, "t", 8, 7), record(t, "s1", 9, server(2, false))), now)
	take(to, from, now)
	if got := to.View().Table.Version(); got != 10 {
		t.Errorf("version %d of the table was handed on; want 10", got)
	}
	if got := to.View().Servers("a"); len(got) != 0 {
		t.Errorf("the draining server is in use: %+v", got)
	}
}
