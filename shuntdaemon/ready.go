package shuntdaemon

import "time"

// AllReady reports whether all daemons accept work and each backend server with
// one of the given IDs is owned by one of them. Demonstrations and tests wait
// for it.
func AllReady(daemons []*Daemon, servers []string) bool {
	now := time.Now()
	owned := map[string]bool{}
	for _, d := range daemons {
		v := d.View()
		if !v.AcceptsWork() {
			return false
		}
		for id := range v.Leases() {
			owned[id] = owned[id] || v.Lease(id, now).Held
		}
	}
	for _, id := range servers {
		if !owned[id] {
			return false
		}
	}
	return true
}
