package shuntguard

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntoutcome"
)

// TestExactFingerprints checks what a VM takes over from those that know a request by its
// exact fingerprint, and what it tells them.
func TestExactFingerprints(t *testing.T) {
	id, varied := Identity{Content: 1, Exact: 2}, Identity{Content: 1, Exact: 3}
	suspected := Suspicion{Fingerprint: id.Exact, Servers: []string{"s"}}
	quarantined := Suspicion{Fingerprint: id.Exact, Strikes: 1}
	cases := map[string]struct {
		do func(g *Guard)
		// suspect and refused are what becomes of the content, and told what is exported.
		suspect, refused bool
		told             []uint64
	}{
		"nothing known":                  {func(g *Guard) { g.Recognize(id) }, false, false, nil},
		"suspected by others":            {func(g *Guard) { g.Merge([]Suspicion{suspected}); g.Recognize(id) }, true, false, []uint64{1, 2}},
		"in quarantine elsewhere":        {func(g *Guard) { g.Merge([]Suspicion{quarantined}); g.Recognize(id) }, true, true, []uint64{1, 2}},
		"heard of after it had come":     {func(g *Guard) { g.RecordLost(id); g.Merge([]Suspicion{quarantined}) }, true, true, []uint64{1, 2}},
		"harmless, suspected by others":  {func(g *Guard) { g.RecordSuccess(1); g.Merge([]Suspicion{suspected}); g.Recognize(id) }, false, false, nil},
		"harmless, then a quarantine":    {func(g *Guard) { g.RecordSuccess(1); g.Merge([]Suspicion{quarantined}); g.Recognize(id) }, true, true, []uint64{1, 2}},
		"crashed here":                   {func(g *Guard) { g.RecordCrash(1, "s", false); g.RecordLost(id) }, true, false, []uint64{1, 2}},
		"lost, then found to be a crash": {func(g *Guard) { g.RecordLost(id); g.RecordCrash(1, "s", false) }, true, false, []uint64{1, 2}},
		"lost, without a crash":          {func(g *Guard) { g.RecordLost(id) }, false, false, nil},
		"repeats that differ":            {func(g *Guard) { g.RecordLost(id); g.RecordCrash(1, "s", false); g.Recognize(varied) }, true, false, []uint64{1, 2, 3}},
		"crashed for an older VM":        {func(g *Guard) { g.RecordLost(id); g.RecordCrash(2, "s", true) }, true, true, []uint64{1, 2}},
		"delegated by an older VM":       {func(g *Guard) { g.RecordCrash(2, "s", false) }, false, false, []uint64{2}},
		"cleared":                        {func(g *Guard) { g.RecordLost(id); g.RecordCrash(1, "s", false); g.RecordSuccess(1) }, false, false, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := New(Config{})
				c.do(g)
				d := g.AdmitTrial(id.Content)
				if got := g.IsSuspect(id.Content); got != c.suspect || (d.Refused != shuntoutcome.None) != c.refused {
					t.Errorf("suspect %v, %+v; want %v, refused: %v", got, d, c.suspect, c.refused)
				}
				var told []uint64
				for _, s := range g.Older().Export(10) {
					told = append(told, s.Fingerprint)
				}
				slices.Sort(told)
				if !slices.Equal(told, c.told) {
					t.Errorf("told %v; want %v", told, c.told)
				}
			})
		})
	}
}

// TestExactFingerprintsAreBounded checks the limits of their number, in all and for one
// request, and that changes are told again.
func TestExactFingerprintsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Config{})
		for i := range uint64(2 * maxExact) {
			g.RecordLost(Identity{Content: i, Exact: 1<<32 + i})
			g.RecordLost(Identity{Content: 1 << 40, Exact: 1<<41 + i})
			time.Sleep(time.Millisecond)
		}
		if len(g.exact) > maxExact {
			t.Errorf("%d exact fingerprints; the limit is %d", len(g.exact), maxExact)
		}
		last := uint64(2*maxExact - 1)
		g.RecordCrash(last, "s", false)
		for range newsSends {
			if got := g.Older().News(10); len(got) != 2 {
				t.Fatalf("got %v; want one suspect under two fingerprints", got)
			}
		}
		if got := g.Older().News(10); len(got) != 0 {
			t.Errorf("got %v; want nothing, since nothing has changed", got)
		}
		g.RecordCrash(last, "t", true)
		if got := g.Older().News(10); len(got) != 2 || got[0].Strikes != 1 {
			t.Errorf("got %v; want the quarantine", got)
		}
	})
}
