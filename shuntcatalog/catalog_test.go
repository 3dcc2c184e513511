package shuntcatalog

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/juju/errors"

	"mulberryshunt.example/mulberryshunt/shuntroute"
)

// testDecoder reads JSON: a Server for keys of servers, a version for the table.
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

const lapseGrace = 2 * time.Second

func newCatalog() *Catalog { return New(Config{Decoder: testDecoder{}, LapseGrace: lapseGrace}) }

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

func only(t *testing.T, c *Catalog) shuntroute.Server {
	t.Helper()
	s := c.View().Servers("a")
	if len(s) != 1 {
		t.Fatalf("%d servers; want 1", len(s))
	}
	return s[0]
}

// TestTableNeverGoesBack: an older version that is read later is passed over.
func TestTableNeverGoesBack(t *testing.T) {
	c := newCatalog()
	c.Apply(state(5, record(t, "t", 5, 7)), time.Now())
	c.Apply(state(6, record(t, "t", 6, 3)), time.Now())
	if got := c.View().Table.Version(); got != 7 {
		t.Errorf("version %d; want 7", got)
	}
	if c.Replace(state(2), time.Now()) {
		t.Error("a state older than the catalog was taken over")
	}
}

// TestReportsOutOfOrder: neither a report of an earlier life nor an earlier one
// of the same life replaces what is known.
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
			if got := only(t, c).Address; got != v.want {
				t.Errorf("address %q; want %q", got, v.want)
			}
		})
	}
}

// TestUnreadableRecord: what can't be read is passed over, and what was known
// holds.
func TestUnreadableRecord(t *testing.T) {
	c := newCatalog()
	c.Apply(state(1, record(t, "s1", 1, shuntroute.Server{ID: "1", Service: "a"}), record(t, "t", 1, 4)), time.Now())
	c.Apply(state(3, Record{Key: "t", Revision: 2, Value: []byte("{")}, Record{Key: "s2", Revision: 3, Value: []byte("nonsense")}), time.Now())
	only(t, c)
	if got := c.View().Table.Version(); got != 4 {
		t.Errorf("version %d; want 4", got)
	}
}

// TestLapse: a server whose entry is gone stays a last choice for the grace, and
// comes back as before if it is listed again.
func TestLapse(t *testing.T) {
	now := time.Now()
	c := newCatalog()
	c.Apply(state(1, record(t, "s1", 1, shuntroute.Server{ID: "1", Service: "a"})), now)
	c.Apply(state(2, Record{Key: "s1", Revision: 2, Removed: true}), now)
	if only(t, c).DelistedAt.IsZero() {
		t.Error("the server is not marked")
	}
	if c.Expire(now.Add(lapseGrace - time.Millisecond)) {
		t.Error("forgotten within the grace")
	}
	c.Apply(state(3, record(t, "s1", 3, shuntroute.Server{ID: "1", Service: "a"})), now)
	if !only(t, c).DelistedAt.IsZero() {
		t.Error("still marked though listed")
	}
	c.Replace(state(4), now)
	c.Expire(now.Add(lapseGrace))
	if n := len(c.View().Servers("a")); n != 0 {
		t.Errorf("%d servers after the grace", n)
	}
}

// TestClosedZone: a zone is closed while its record stands.
func TestClosedZone(t *testing.T) {
	c := newCatalog()
	c.Apply(state(2, record(t, "s1", 1, shuntroute.Server{ID: "1", Service: "a", Zone: "zone"}), Record{Key: "zone", Revision: 2}), time.Now())
	if n := len(c.View().Servers("a")); n != 0 {
		t.Errorf("%d servers in a closed zone", n)
	}
	c.Apply(state(3, Record{Key: "zone", Revision: 3, Removed: true}), time.Now())
	only(t, c)
}

// TestSince: what one catalog tells another brings it to the same state, from
// any revision.
func TestSince(t *testing.T) {
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
	from.Expire(now.Add(lapseGrace))
	for after := range len(changes) + 1 {
		to := newCatalog()
		for _, s := range changes[:after] {
			to.Apply(s, now)
		}
		d := from.ChangesSince(int64(after))
		if d.Full {
			to.Replace(d.State, now)
		} else {
			to.Apply(d.State, now)
		}
		to.Expire(now.Add(lapseGrace))
		if only(t, to).ID != "2" || to.View().Table.Version() != 9 || to.Revision() != 5 {
			t.Errorf("after %d: %+v", after, to.View())
		}
	}
}

// TestSinceForgotten: once removals have been forgotten, the whole state is told.
func TestSinceForgotten(t *testing.T) {
	c := newCatalog()
	for i := range int64(maxRemoved + 2) {
		c.Apply(state(2*i+1, record(t, "s1", 2*i+1, shuntroute.Server{ID: "1", Service: "a"})), time.Now())
		c.Apply(state(2*i+2, Record{Key: "s1", Revision: 2*i + 2, Removed: true}), time.Now())
	}
	if !c.ChangesSince(1).Full || c.ChangesSince(c.Revision()-1).Full {
		t.Error("the whole state is told exactly to those beyond the kept removals")
	}
}
