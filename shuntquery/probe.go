package shuntquery

import (
	"time"

	"mulberryshunt.example/mulberryshunt/shuntoutcome"
)

// nextProbe takes the shard to probe with out of held, unless one is open.
func (r *run) nextProbe() []int {
	for i := range r.shards {
		h := &r.shards[i]
		if h.probe && (h.open > 0 || !h.retryAt.IsZero()) {
			return nil
		}
	}
	for len(r.held) > 0 {
		// Any shard will do; the first one of all would be hit each time.
		k := r.c.config.Random.Below(len(r.held))
		i := r.held[k]
		r.held = append(r.held[:k], r.held[k+1:]...)
		if h := &r.shards[i]; !h.done && !h.failed {
			h.probe = true
			r.probeEnd = time.Now().Add(probeFactor * r.hedgeDelay(h.plan.Service, time.Now()))
			return []int{i}
		}
	}
	return nil
}

// probeWait is when the shards held back go on though the probe has not answered.
func (r *run) probeWait() (time.Time, bool) {
	return r.probeEnd, r.probing && !r.suspect && len(r.held) > 0
}

// probed goes on with the shards held back, after an attempt that ran well.
func (r *run) probed(now time.Time) {
	r.probing = false
	held := r.held
	r.held = nil
	if len(held) > 0 {
		r.send(held, now)
	}
}

// crashed books that a server died under the query.
func (r *run) crashed(server string, now time.Time) {
	v := r.c.config.Guard.RecordCrash(r.print, server, r.suspect)
	if v.Refused == shuntoutcome.None {
		r.suspect = r.suspect || v.Suspect
		r.probing = r.probing || v.Canary
		return
	}
	r.refused = v.Refused
	held := r.held
	r.held = nil
	for _, i := range held {
		r.fail(&r.shards[i], v.Refused, now)
	}
}
