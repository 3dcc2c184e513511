package shuntquery

import (
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
)

// usable returns the replicas of a shard that may get new work for a snapshot.
func usable(fleet shuntconfig.Fleet, h shuntconfig.PlanShard, id shuntconfig.SnapshotID, p *ReplicaTracker, now time.Time) []shuntconfig.ServerPlace {
	out := make([]shuntconfig.ServerPlace, 0, len(h.Replicas))
	for _, r := range h.Replicas {
		if r.Draining || !zoneServes(fleet, r.Zone) {
			continue
		}
		if p.LacksSnapshot(r.ID(), id, now) {
			continue
		}
		out = append(out, r)
	}
	return out
}

// zoneServes says whether servers of the zone may get work. A zone that the
// Fleet document doesn't name is no zone that operators have taken out.
func zoneServes(f shuntconfig.Fleet, zone string) bool {
	z, ok := f.Zone(zone)
	return !ok || z.InService
}

// pin returns the newest snapshot for which every shard has a usable server.
// When none is whole, it returns the one with the most shards served, the
// newest of those: an honest partial answer is better than none.
func pin(fleet shuntconfig.Fleet, snaps []shuntconfig.PlanSnapshot, p *ReplicaTracker, now time.Time) (shuntconfig.PlanSnapshot, bool) {
	best := -1
	bestShare := -1.0
	for i, s := range snaps {
		share := servedShare(fleet, s, p, now)
		if share == 1 {
			return s, true
		}
		if share > bestShare {
			best, bestShare = i, share
		}
	}
	if best < 0 {
		return shuntconfig.PlanSnapshot{}, false
	}
	return snaps[best], true
}

func servedShare(fleet shuntconfig.Fleet, s shuntconfig.PlanSnapshot, p *ReplicaTracker, now time.Time) float64 {
	if len(s.Shards) == 0 {
		return 0
	}
	n := 0
	for _, h := range s.Shards {
		if len(usable(fleet, h, s.ID, p, now)) > 0 {
			n++
		}
	}
	return float64(n) / float64(len(s.Shards))
}
