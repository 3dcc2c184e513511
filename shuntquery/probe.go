package shuntquery

import (
	"time"

	"mulberryshunt.example/mulberryshunt/shuntoutcome"
)

// nextProbe removes a shard from heldShards and returns it as the next probe. It
// returns nil while another probe is open or scheduled.
func (r *queryRun) nextProbe() []int {
	for i := range r.shards {
		h := &r.shards[i]
		if h.isProbe && (h.open > 0 || !h.retryAt.IsZero()) {
			return nil
		}
	}
	for len(r.heldShards) > 0 {
		// Choose at random, so that repeated crashes don't all hit the
		// replicas of the first shard.
		k := r.c.config.Random.IntN(len(r.heldShards))
		i := r.heldShards[k]
		r.heldShards = append(r.heldShards[:k], r.heldShards[k+1:]...)
		if h := &r.shards[i]; !h.done && !h.failed {
			h.isProbe = true
			r.probeDeadline = time.Now().Add(probeTimeoutFactor * r.hedgeDelay(h.plan.Service, time.Now()))
			return []int{i}
		}
	}
	return nil
}

// probeTimeout returns when the held shards are sent although the probe has not
// answered, and false if they must wait for it.
func (r *queryRun) probeTimeout() (time.Time, bool) {
	return r.probeDeadline, r.probing && !r.suspect && len(r.heldShards) > 0
}

// endProbing sends the held shards, after the probe succeeded or timed out.
func (r *queryRun) endProbing(now time.Time) {
	r.probing = false
	held := r.heldShards
	r.heldShards = nil
	if len(held) > 0 {
		r.startAttempts(held, now)
	}
}

// recordCrash tells the guard that a server crashed while running the query. If
// the guard now rejects the query, the held shards fail.
func (r *queryRun) recordCrash(server string, now time.Time) {
	v := r.c.config.Guard.RecordCrash(r.fingerprint, server, r.suspect)
	if v.Refused == shuntoutcome.None {
		r.suspect = r.suspect || v.Suspect
		r.probing = r.probing || v.Canary
		return
	}
	r.refusal = v.Refused
	held := r.heldShards
	r.heldShards = nil
	for _, i := range held {
		r.failShard(&r.shards[i], v.Refused, now)
	}
}
