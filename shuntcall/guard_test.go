package shuntcall

import (
	"testing"

	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

// TestFingerprint checks which requests count as repeats of the same one.
func TestFingerprint(t *testing.T) {
	base := shuntupstream.Request{Method: "GET", Host: "h", Target: "/a?n=1", Body: []byte("x"), ID: "1"}
	cases := map[string]struct {
		caller string
		change func(r *shuntupstream.Request)
		same   bool
	}{
		"another ID":           {"c", func(r *shuntupstream.Request) { r.ID = "2" }, true},
		"another query string": {"c", func(r *shuntupstream.Request) { r.Target = "/a?n=2" }, true},
		"no query string":      {"c", func(r *shuntupstream.Request) { r.Target = "/a" }, true},
		"another path":         {"c", func(r *shuntupstream.Request) { r.Target = "/b?n=1" }, false},
		"another body":         {"c", func(r *shuntupstream.Request) { r.Body = []byte("y") }, false},
		"another host":         {"c", func(r *shuntupstream.Request) { r.Host = "i" }, false},
		"another caller":       {"d", func(*shuntupstream.Request) {}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := base
			c.change(&r)
			if same := Fingerprint("c", base) == Fingerprint(c.caller, r); same != c.same {
				t.Errorf("the same request: %v; want %v", same, c.same)
			}
		})
	}
}
