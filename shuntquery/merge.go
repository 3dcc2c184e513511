package shuntquery

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntoutcome"
)

// wireRow is a row as backend servers and callers exchange it.
type wireRow struct {
	Key   string
	Text  string
	Score float64
}

// DecodeRows reads the rows that a backend server sent.
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

// EncodeRows writes rows as backend servers send them.
func EncodeRows(rows []Row) []byte {
	w := make([]wireRow, len(rows))
	for i, r := range rows {
		w[i] = wireRow(r)
	}
	b, err := json.Marshal(w)
	if err != nil {
		// Only a score that is no number can't be written.
		return []byte("[]")
	}
	return b
}

// finish merges what was answered and states the coverage of it, counted from
// the merged shards and not from what was sent.
func (r *run) finish() Answer {
	out := r.answer
	out.ID = r.query.ID
	out.Snapshot = r.snapshot.ID
	out.Total = len(r.shards)
	now := time.Now()
	for i := range r.shards {
		h := &r.shards[i]
		if h.done {
			r.merge(&out, h)
		}
		if !h.done {
			r.miss(&out, h)
		}
		out.Route = append(out.Route, h.hop(now))
	}
	out.Rows = order(out.Rows, r.query.Limit)
	out.Outcome, out.Reason = r.outcome(out)
	if out.Outcome == shuntoutcome.Complete {
		r.c.config.Guard.RecordSuccess(r.print)
	}
	return out
}

func (h *shard) hop(now time.Time) Hop {
	end := h.ended
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
		Elapsed:  end.Sub(h.began),
	}
}

func (r *run) merge(out *Answer, h *shard) {
	rows, err := DecodeRows(h.rows)
	if err != nil {
		klog.InfoS("Rows of a shard can't be read", "query", r.query.ID, "shard", h.plan.Name, "server", h.server, "err", err.Error())
		h.done = false
		h.ran = true
		h.reason = shuntoutcome.ServerFault
		return
	}
	out.Answered++
	out.Rows = append(out.Rows, rows...)
}

func (r *run) miss(out *Answer, h *shard) {
	if h.reason == shuntoutcome.None {
		h.reason = shuntoutcome.DeadlinePassed
	}
	out.Missing = append(out.Missing, Missing{Shard: h.plan.Name, Reason: h.reason})
}

// outcome says what became of the query as a whole. NotRun needs the
// certainty that no attempt at any shard ran.
func (r *run) outcome(out Answer) (shuntoutcome.Outcome, shuntoutcome.Reason) {
	if out.Answered == out.Total && out.Total > 0 {
		return shuntoutcome.Complete, shuntoutcome.None
	}
	uncertain := false
	for i := range r.shards {
		h := &r.shards[i]
		uncertain = uncertain || (!h.done && (h.ran || h.open > 0))
	}
	why := shuntoutcome.NoReplica
	if len(out.Missing) > 0 {
		why = out.Missing[0].Reason
	}
	switch {
	case uncertain && (!r.query.Idempotent || out.Answered == 0):
		return shuntoutcome.Unknown, why
	case out.Answered == 0:
		return shuntoutcome.NotRun, why
	case out.Coverage() < r.workspace.MinimumCoverage:
		return shuntoutcome.Partial, shuntoutcome.BelowMinimum
	}
	return shuntoutcome.Partial, why
}

// order sorts rows by falling score, then by key, drops rows that stand twice
// and cuts to the limit. Shards of one snapshot share no keys; a row that comes
// twice all the same must not reach the caller twice.
func order(rows []Row, limit int) []Row {
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
