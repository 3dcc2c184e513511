package shuntquery

import (
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
)

// usableReplicas returns the replicas of a shard that accept new requests and
// have not reported lately that they lack the snapshot.
func usableReplicas(fleet shuntconfig.Fleet, h shuntconfig.PlanShard, id shuntconfig.SnapshotID, p *ReplicaTracker, now time.Time) []shuntconfig.ServerSpec {
	out := make([]shuntconfig.ServerSpec, 0, len(h.Replicas))
	for _, r := range h.Replicas {
		if r.Draining || !zoneInService(fleet, r.Zone) {
			continue
		}
		if p.LacksSnapshot(r.ID(), id, now) {
			continue
		}
		out = append(out, r)
	}
	return out
}

// zoneInService reports whether servers of the zone may get requests. A zone that
// is not in the Fleet document counts as in service, because operators have not
// taken it out of service.
func zoneInService(f shuntconfig.Fleet, zone string) bool {
	z, ok := f.Zone(zone)
	return !ok || z.InService
}

// pinSnapshot returns the newest snapshot for which every shard has a usable
// replica. If there is none, it returns the snapshot with the largest fraction
// of usable shards, and the newest of those, because a partial answer is better
// than none. It expects snaps to be sorted from newest to oldest.
func pinSnapshot(fleet shuntconfig.Fleet, snaps []shuntconfig.PlanSnapshot, p *ReplicaTracker, now time.Time) (shuntconfig.PlanSnapshot, bool) {
	best := -1
	bestFraction := -1.0
	for i, s := range snaps {
		fraction := servedFraction(fleet, s, p, now)
		if fraction == 1 {
			return s, true
		}
		if fraction > bestFraction {
			best, bestFraction = i, fraction
		}
	}
	if best < 0 {
		return shuntconfig.PlanSnapshot{}, false
	}
	return snaps[best], true
}

// servedFraction returns the fraction of shards that have a usable replica.
func servedFraction(fleet shuntconfig.Fleet, s shuntconfig.PlanSnapshot, p *ReplicaTracker, now time.Time) float64 {
	if len(s.Shards) == 0 {
		return 0
	}
	n := 0
	for _, h := range s.Shards {
		if len(usableReplicas(fleet, h, s.ID, p, now)) > 0 {
			n++
		}
	}
	return float64(n) / float64(len(s.Shards))
}
