package shuntgroup

import "testing"

// TestProtect checks that a panic ends only the function that it occurs in, and is
// reported and counted.
func TestProtect(t *testing.T) {
	cases := map[string]struct {
		f  func()
		ok bool
	}{
		"no panic":        {func() {}, true},
		"a panic":         {func() { panic("broken") }, false},
		"a runtime error": {func() { _ = []int{}[len(t.Name())] }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			before := Panics()
			if ok := Protect("test", c.f); ok != c.ok || (Panics() == before) != c.ok {
				t.Errorf("got %v with %d panics", ok, Panics()-before)
			}
		})
	}
}
