package shuntquery

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntoutcome"
)

// wireRow is the JSON form of a Row.
type wireRow struct {
	Key   string
	Text  string
	Score float64
}

// DecodeRows decodes the rows in a backend server's reply.
func DecodeRows(body []byte) ([]Row, error) {
	if len(body) == 0 {
		return nil, nil
	}
	var w []wireRow
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, err
	}
	out := make([]Row, len(w))
	for i, r := range w {
		out[i] = Row(r)
	}
	return out, nil
}

// EncodeRows encodes rows as backend servers send them.
func EncodeRows(rows []Row) []byte {
	w := make([]wireRow, len(rows))
	for i, r := range rows {
		w[i] = wireRow(r)
	}
	b, err := json.Marshal(w)
	if err != nil {
		// Encoding fails only for a score that is NaN or infinite.
		return []byte("[]")
	}
	return b
}

// buildAnswer merges the replies. Coverage is counted from the shards that were
// merged, not from the sub-requests that were sent.
func (r *queryRun) buildAnswer() Answer {
	out := r.answer
	out.ID = r.query.ID
	out.Snapshot = r.snapshot.ID
	out.Total = len(r.shards)
	now := time.Now()
	for i := range r.shards {
		h := &r.shards[i]
		if h.done {
			r.mergeShard(&out, h)
		}
		if !h.done {
			r.addMissing(&out, h)
		}
		out.Route = append(out.Route, h.hop(now))
	}
	out.Rows = sortRows(out.Rows, r.query.Limit)
	out.Outcome, out.Reason = r.outcome(out)
	if out.Outcome == shuntoutcome.Complete {
		r.c.config.Guard.RecordSuccess(r.fingerprint)
	}
	return out
}

func (h *shardState) hop(now time.Time) Hop {
	end := h.endedAt
	if end.IsZero() {
		end = now
	}
	return Hop{
		Shard:    h.plan.Name,
		Server:   h.server,
		Owner:    h.owner,
		Attempts: h.attempts,
		Hedged:   h.hedged,
		Reason:   h.reason,
		Elapsed:  end.Sub(h.startedAt),
	}
}

// mergeShard adds a shard's rows to out. A shard whose rows can't be decoded
// counts as not answered.
func (r *queryRun) mergeShard(out *Answer, h *shardState) {
	rows, err := DecodeRows(h.rows)
	if err != nil {
		klog.InfoS("Could not decode rows of shard", "query", r.query.ID, "shard", h.plan.Name, "server", h.server, "err", err.Error())
		h.done = false
		h.mayHaveRun = true
		h.reason = shuntoutcome.ServerFault
		return
	}
	out.Answered++
	out.Rows = append(out.Rows, rows...)
}

func (r *queryRun) addMissing(out *Answer, h *shardState) {
	if h.reason == shuntoutcome.None {
		h.reason = shuntoutcome.DeadlinePassed
	}
	out.Missing = append(out.Missing, Missing{Shard: h.plan.Name, Reason: h.reason})
}

// outcome returns the outcome of the whole query and its reason. It returns
// NotRun only if no attempt at any shard can have run.
func (r *queryRun) outcome(out Answer) (shuntoutcome.Outcome, shuntoutcome.Reason) {
	if out.Answered == out.Total && out.Total > 0 {
		return shuntoutcome.Complete, shuntoutcome.None
	}
	uncertain := false
	for i := range r.shards {
		h := &r.shards[i]
		uncertain = uncertain || (!h.done && (h.mayHaveRun || h.open > 0))
	}
	reason := shuntoutcome.NoReplica
	if len(out.Missing) > 0 {
		reason = out.Missing[0].Reason
	}
	switch {
	case uncertain && (!r.query.Idempotent || out.Answered == 0):
		return shuntoutcome.Unknown, reason
	case out.Answered == 0:
		return shuntoutcome.NotRun, reason
	case out.Coverage() < r.workspace.MinimumCoverage:
		return shuntoutcome.Partial, shuntoutcome.BelowMinimum
	}
	return shuntoutcome.Partial, reason
}

// sortRows sorts rows by descending score, then by key, removes duplicates and
// truncates to limit. Shards of one snapshot should have no keys in common, but
// a caller must not get a row twice if they do.
func sortRows(rows []Row, limit int) []Row {
	slices.SortFunc(rows, func(a, b Row) int {
		if c := cmp.Compare(b.Score, a.Score); c != 0 {
			return c
		}
		return cmp.Compare(a.Key, b.Key)
	})
	rows = slices.CompactFunc(rows, func(a, b Row) bool { return a == b })
	if limit > 0 && len(rows) > limit {
		rows = rows[:limit]
	}
	return rows
}
