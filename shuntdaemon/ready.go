package shuntdaemon

import "time"

// AllReady says whether all of the daemons take work and the backend servers
// with the given IDs each have an owner among them. Demonstrations and tests
// wait for it.
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
