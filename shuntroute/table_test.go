package shuntroute

import (
	"math"
	"testing"
	"time"
)

// TestMatch checks which route a host and path are matched to.
func TestMatch(t *testing.T) {
	table := NewTable(TableConfig{Version: 1, Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}})
	cases := map[string]struct{ host, path, want string }{
		"longest prefix":           {"a.example", "/x/y/z", "long"},
		"shorter prefix":           {"a.example", "/x/z", "short"},
		"prefix without its slash": {"a.example", "/x", ""},
		"port and case":            {"A.example:8080", "/x/z", "short"},
		"another host's prefix":    {"b.example", "/x/y/", "other"},
		"unknown host":             {"c.example", "/x/", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r, ok := table.Match(c.host, c.path)
			switch {
			case ok != (c.want != ""):
				t.Errorf("found = %v; want %q", ok, c.want)
			case ok && r.Name != c.want:
				t.Errorf("got %q; want %q", r.Name, c.want)
			}
		})
	}
}

// TestPick checks that uniformly distributed points select services by weight.
func TestPick(t *testing.T) {
	r := Route{WeightedServices: []WeightedService{{"a", 3}, {"b", 1}}}
	got := map[string]int{}
	const points = 1000
	for i := range points {
		got[r.PickService(float64(i)/points)]++
	}
	if math.Abs(float64(got["a"])-750) > 1 || got["a"]+got["b"] != points {
		t.Errorf("got %v", got)
	}
}

// TestView checks that draining servers and servers in closed zones receive no
// requests.
func TestView(t *testing.T) {
	v := NewView(nil, 1, []Server{
		{ID: "1", Service: "s", Zone: "in"},
		{ID: "2", Service: "s", Zone: "out"},
		{ID: "3", Service: "s", Zone: "in", Draining: true},
	}, map[string]bool{"out": true})
	if got := v.Servers("s"); len(got) != 1 || got[0].ID != "1" {
		t.Errorf("got %v", got)
	}
	if n := v.CountByZone(); n["in"] != 1 || n["out"] != 0 {
		t.Errorf("by zone: %v", n)
	}
}

// TestCold checks that a server is cold only until ColdUntil.
func TestCold(t *testing.T) {
	now := time.Now()
	s := Server{ColdUntil: now.Add(time.Second)}
	if !s.Cold(now) || s.Cold(now.Add(time.Second)) || (Server{}).Cold(now) {
		t.Error("a server must be cold before ColdUntil only")
	}
}
