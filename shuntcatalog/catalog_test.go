package shuntcatalog

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"mulberryshunt.example/mulberryshunt/shuntroute"

	"pgregory.net/rapid"
)

// testDecoder decodes JSON: a Server for keys that begin with s and a version of
// the table for keys that begin with t. Other keys name a zone out of service.
type testDecoder struct{}

func (testDecoder) Decode(r Record, _ time.Time) (DecodedRecord, error) {
	switch r.Key[0] {
	case 's':
		var s shuntroute.Server
		if err := json.Unmarshal(r.Value, &s); err != nil {
			return DecodedRecord{}, errors.Trace(err)
		}
		return DecodedRecord{Server: &s}, nil
	case 't':
		var v int64
		if err := json.Unmarshal(r.Value, &v); err != nil {
			return DecodedRecord{}, errors.Trace(err)
		}
		return DecodedRecord{Table: shuntroute.NewTable(shuntroute.TableConfig{Version: v})}, nil
	}
	return DecodedRecord{ZoneOutOfService: r.Key}, nil
}

const delistedGrace = 2 * time.Second

func newCatalog() *Catalog { return New(Config{Decoder: testDecoder{}, DelistedGrace: delistedGrace}) }

func record(t *testing.T, key string, revision int64, v any) Record {
	t.Helper()
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return Record{Key: key, Revision: revision, Value: b}
}

func state(revision int64, records ...Record) State {
	return State{Revision: revision, Records: records}
}

// soleServer returns the only server of service a.
func soleServer(t *testing.T, c *Catalog) shuntroute.Server {
	t.Helper()
	s := c.View().Servers("a")
	if len(s) != 1 {
		t.Fatalf("%d servers; want 1", len(s))
	}
	return s[0]
}

// TestOlderTableIgnored checks that an older version of the table does not
// replace a newer one, even at a later revision, and that an older state is
// rejected.
func TestOlderTableIgnored(t *testing.T) {
	c := newCatalog()
	c.Apply(state(5, record(t, "t", 5, 7)), time.Now())
	c.Apply(state(6, record(t, "t", 6, 3)), time.Now())
	if got := c.View().Table.Version(); got != 7 {
		t.Errorf("version %d; want 7", got)
	}
	if c.Replace(state(2), time.Now()) {
		t.Error("a state older than the catalog was accepted")
	}
}

// TestReportsOutOfOrder checks that a server's newest report is not replaced by
// one of an earlier incarnation, nor by an earlier one of the same incarnation.
func TestReportsOutOfOrder(t *testing.T) {
	known := shuntroute.Server{ID: "1", Service: "a", StartMillis: 10, Sequence: 5, Address: "new"}
	cases := map[string]struct {
		report shuntroute.Server
		want   string
	}{
		"earlier life":      {shuntroute.Server{ID: "1", Service: "a", StartMillis: 9, Sequence: 50, Address: "old"}, "new"},
		"earlier in life":   {shuntroute.Server{ID: "1", Service: "a", StartMillis: 10, Sequence: 4, Address: "old"}, "new"},
		"later in life":     {shuntroute.Server{ID: "1", Service: "a", StartMillis: 10, Sequence: 6, Address: "later"}, "later"},
		"later life from 0": {shuntroute.Server{ID: "1", Service: "a", StartMillis: 11, Sequence: 0, Address: "later"}, "later"},
	}
	for name, v := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCatalog()
			c.Apply(state(1, record(t, "s1", 1, known)), time.Now())
			c.Apply(state(2, record(t, "s1", 2, v.report)), time.Now())
			if got := soleServer(t, c).Address; got != v.want {
				t.Errorf("address %q; want %q", got, v.want)
			}
		})
	}
}

// TestUnreadableRecord checks that records that can't be decoded are ignored and
// that the previous state stays in force.
func TestUnreadableRecord(t *testing.T) {
	c := newCatalog()
	c.Apply(state(1, record(t, "s1", 1, shuntroute.Server{ID: "1", Service: "a"}), record(t, "t", 1, 4)), time.Now())
	c.Apply(state(3, Record{Key: "t", Revision: 2, Value: []byte("{")}, Record{Key: "s2", Revision: 3, Value: []byte("nonsense")}), time.Now())
	soleServer(t, c)
	if got := c.View().Table.Version(); got != 4 {
		t.Errorf("version %d; want 4", got)
	}
}

// TestDelistedServer checks that a server whose entry was removed is kept, marked
// as delisted, for the grace period, and that it is unmarked when listed again.
func TestDelistedServer(t *testing.T) {
	now := time.Now()
	c := newCatalog()
	c.Apply(state(1, record(t, "s1", 1, shuntroute.Server{ID: "1", Service: "a"})), now)
	c.Apply(state(2, Record{Key: "s1", Revision: 2, Removed: true}), now)
	if soleServer(t, c).DelistedAt.IsZero() {
		t.Error("the server is not marked as delisted")
	}
	if c.Expire(now.Add(delistedGrace - time.Millisecond)) {
		t.Error("a server was discarded within the grace period")
	}
	c.Apply(state(3, record(t, "s1", 3, shuntroute.Server{ID: "1", Service: "a"})), now)
	if !soleServer(t, c).DelistedAt.IsZero() {
		t.Error("a listed server is still marked as delisted")
	}
	c.Replace(state(4), now)
	c.Expire(now.Add(delistedGrace))
	if n := len(c.View().Servers("a")); n != 0 {
		t.Errorf("%d servers after the grace period; want none", n)
	}
}

// TestZoneOutOfService checks that a zone's servers are left out of the view for
// as long as the record exists that takes it out of service.
func TestZoneOutOfService(t *testing.T) {
	c := newCatalog()
	c.Apply(state(2, record(t, "s1", 1, shuntroute.Server{ID: "1", Service: "a", Zone: "zone"}), Record{Key: "zone", Revision: 2}), time.Now())
	if n := len(c.View().Servers("a")); n != 0 {
		t.Errorf("%d servers in a zone out of service; want none", n)
	}
	c.Apply(state(3, Record{Key: "zone", Revision: 3, Removed: true}), time.Now())
	soleServer(t, c)
}

// TestChangesSince checks that the changes that one catalog returns bring another
// to the same state, from any revision.
func TestChangesSince(t *testing.T) {
	now := time.Now()
	from := newCatalog()
	changes := []State{
		state(1, record(t, "s1", 1, shuntroute.Server{ID: "1", Service: "a"})),
		state(2, record(t, "t", 2, 4)),
		state(3, record(t, "s2", 3, shuntroute.Server{ID: "2", Service: "a"})),
		state(4, Record{Key: "s1", Revision: 4, Removed: true}),
		state(5, record(t, "t", 5, 9)),
	}
	for _, s := range changes {
		from.Apply(s, now)
	}
	from.Expire(now.Add(delistedGrace))
	for after := range len(changes) + 1 {
		to := newCatalog()
		for _, s := range changes[:after] {
			to.Apply(s, now)
		}
		to.ApplyDelta(from.ChangesSince(int64(after)), now)
		to.Expire(now.Add(delistedGrace))
		if soleServer(t, to).ID != "2" || to.View().Table.Version() != 9 || to.Revision() != 5 {
			t.Errorf("changes since revision %d led to %+v", after, to.View())
		}
	}
}

// TestChangesSinceCompacted checks that the full state is returned if removals
// after the revision have been discarded.
func TestChangesSinceCompacted(t *testing.T) {
	c := newCatalog()
	for i := range int64(maxRetainedRemovals + 2) {
		c.Apply(state(2*i+1, record(t, "s1", 2*i+1, shuntroute.Server{ID: "1", Service: "a"})), time.Now())
		c.Apply(state(2*i+2, Record{Key: "s1", Revision: 2*i + 2, Removed: true}), time.Now())
	}
	if !c.ChangesSince(1).Full || c.ChangesSince(c.Revision()-1).Full {
		t.Error("the full state must be returned if and only if removals have been discarded")
	}
}

// panickingDecoder panics on records whose key is bad.
type panickingDecoder struct{ testDecoder }

func (d panickingDecoder) Decode(r Record, now time.Time) (DecodedRecord, error) {
	if r.Key == "bad" {
		panic("broken")
	}
	return d.testDecoder.Decode(r, now)
}

// TestPanickingDecoder checks that a record that can't be decoded without a panic is
// passed over, and that the others take effect.
func TestPanickingDecoder(t *testing.T) {
	c := New(Config{Decoder: panickingDecoder{}, DelistedGrace: delistedGrace})
	s := state(3, record(t, "t", 3, 7))
	s.Records = append([]Record{{Key: "bad", Revision: 2, Value: []byte("x")}}, s.Records...)
	c.Apply(s, time.Now())
	if v := c.View(); v.Table == nil || v.Table.Version() != 7 {
		t.Errorf("table %v, want version 7", v.Table)
	}
}

// TestViewAfterChanges checks that a view that is worked out from the last one and the
// changes since is the same as one that is built anew.
func TestViewAfterChanges(t *testing.T) {
	contents := func(v *shuntroute.View) string {
		out := []string{}
		for s := range v.All() {
			out = append(out, fmt.Sprintf("%s %+v", s.Service, s))
		}
		slices.Sort(out)
		return fmt.Sprint(v.Revision, strings.Join(out, "\n"))
	}
	rapid.Check(t, func(rt *rapid.T) {
		c := newCatalog()
		now := time.Now()
		for i := range rapid.IntRange(1, 40).Draw(rt, "changes") {
			key := fmt.Sprint("entries/", rapid.IntRange(0, 5).Draw(rt, "key"))
			zone := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "zone")
			switch rapid.IntRange(0, 5).Draw(rt, "kind") {
			case 0:
				c.remove(key, int64(i), now)
			case 1:
				now = now.Add(delistedGrace)
				c.Expire(now)
			case 2:
				c.zonesOutOfService["zone"], c.view = zone, nil
			case 3:
				c.remove("zone", int64(i), now)
			default:
				s := shuntroute.Server{ID: key, Service: rapid.SampledFrom([]string{"s", "t"}).Draw(rt, "service"), Zone: zone, Sequence: int64(i), Draining: rapid.Bool().Draw(rt, "draining")}
				c.putServer(Record{Key: key, Revision: int64(i)}, s, now)
			}
			c.revision = int64(i)
			got := contents(c.View())
			c.view = nil
			if want := contents(c.View()); got != want {
				rt.Fatalf("after change %d: got\n%s\nwant\n%s", i, got, want)
			}
		}
	})
}
