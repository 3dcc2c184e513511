package shuntupstream

import (
	"net/http"
	"testing"
)

// TestRateLimit checks which headers name a limit, and that an unreadable one is an
// error rather than no limit.
func TestRateLimit(t *testing.T) {
	cases := map[string]struct {
		header string
		limit  float64
		named  bool
		failed bool
	}{
		"none":        {},
		"decimal":     {header: "23.8", limit: 23.8, named: true},
		"whole":       {header: "4", limit: 4, named: true},
		"nothing":     {header: "0", named: true},
		"negative":    {header: "-1", failed: true},
		"not finite":  {header: "Inf", failed: true},
		"not a rate":  {header: "NaN", failed: true},
		"not decimal": {header: "ten", failed: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := http.Header{}
			if c.header != "" {
				h.Set("Rate", c.header)
			}
			limit, named, err := Reply{Header: h}.RateLimit(Headers{RateLimit: "Rate"})
			if limit != c.limit || named != c.named || (err != nil) != c.failed {
				t.Errorf("got %v, %v, %v; want %v, %v, failed %v", limit, named, err, c.limit, c.named, c.failed)
			}
		})
	}
}
