package shuntentry

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

func init() {
	// A fixed seed makes the test deterministic.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func FuzzDecodeRequest(f *testing.F) {
	f.Add([]byte(`{"Query": "x"}`))
	f.Add([]byte(`{"Query": "x", "Idempotent": false, "Ticket": "a~b~c~d", "Limit": 3}`))
	f.Add([]byte(`{"Query": 3}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := DecodeRequest(body)
		if err == nil && (r.Limit < 0 || r.Limit > maxRowLimit) {
			t.Errorf("limit %d accepted", r.Limit)
		}
	})
}

// TestRequestRoundTrip checks that DecodeRequest returns what EncodeRequest encoded.
func TestRequestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Request{
			Query:      rapid.String().Draw(t, "query"),
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Limit:      rapid.IntRange(0, maxRowLimit).Draw(t, "limit"),
		}
		if !want.Idempotent {
			want.Ticket = rapid.StringMatching(`[a-z~]*`).Draw(t, "ticket")
		}
		got, err := DecodeRequest(EncodeRequest(want))
		if err != nil || got != want {
			t.Fatalf("got %+v, %v; want %+v", got, err, want)
		}
	})
}
