package shuntcatalog

import (
	"testing"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntroute"
	"mulberryshunt.example/mulberryshunt/shunttest"
)

// take brings a catalog up to date with another one, as VMs do.
func take(to, from *Catalog, now time.Time) {
	d := from.ChangesSince(to.Revision())
	if d.Full {
		to.Replace(d.State, now)
	} else {
		to.Apply(d.State, now)
	}
}

// TestGhostServer checks that a VM learns of a removal from another VM that has never
// known the server: it has listed the records after the removal.
func TestGhostServer(t *testing.T) {
	shunttest.SkipKnownRed(t)
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
