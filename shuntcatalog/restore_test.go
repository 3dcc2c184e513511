package shuntcatalog

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulberryshunt.example/mulberryshunt/shuntroute"
	"mulberryshunt.example/mulberryshunt/shunttest"
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

// TestOlderContentNotHandedOn checks that a VM that has ignored older content of later
// revisions does not hand it to one that knows nothing.
func TestOlderContentNotHandedOn(t *testing.T) {
	shunttest.SkipKnownRed(t)
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
