package shuntcall

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"mulberryshunt.example/mulberryshunt/shuntroute"
	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

// Headers of requests and responses between VMs.
const (
	headerShards         = "Shunt-Shards"
	headerVersion        = "Shunt-Version"
	headerMinShards      = "Shunt-Need"
	headerDue            = "Shunt-Due-Ms"
	headerFingerprint    = "Shunt-Fingerprint"
	headerSignatures     = "Shunt-Signatures"
	headerWork           = "Shunt-Work-Us"
	headerMedianLatency  = "Shunt-Middle-Us"
	headerCompletionTime = "Shunt-In-Us"
	headerAttempts       = "Shunt-Attempts"
)

// delegatedRequest returns the query's request with headers that tell another VM
// which shards to gather. That VM answers after due if it has enough shards.
func delegatedRequest(q Query, s Subset, shards []string, due time.Duration) shuntupstream.Request {
	r := q.Request
	r.Header = r.Header.Clone()
	indexes := make(map[string]int, len(q.Route.Shards))
	for i, shard := range q.Route.Shards {
		indexes[shard] = i
	}
	numbers := make([]string, len(shards))
	for i, shard := range shards {
		numbers[i] = strconv.Itoa(indexes[shard])
	}
	// Shards that this VM does not delegate may all answer, so the delegate may
	// miss as many shards as the whole subset may.
	need := max(1, len(shards)-(len(s.Shards)-s.MinShards))
	r.Header.Set(headerShards, strings.Join(numbers, ","))
	r.Header.Set(headerVersion, strconv.FormatInt(q.Table.Version(), 10))
	r.Header.Set(headerMinShards, strconv.Itoa(need))
	r.Header.Set(headerDue, strconv.FormatInt(max(0, due.Milliseconds()), 10))
	r.Header.Set(headerFingerprint, strconv.FormatUint(q.Fingerprint, 16))
	return r
}

// parseDelegateReply parses another VM's response for a number of shards. It also
// returns how long that VM worked on them.
func parseDelegateReply(o shuntupstream.Outcome, vm string, shards int) (shardResult, time.Duration) {
	out := shardResult{shards: shards, status: Faulted, reason: errorText(o.Err)}
	if o.Status != shuntupstream.Answered {
		return out, 0
	}
	h := o.Reply.Header
	work, workErr := strconv.ParseInt(h.Get(headerWork), 10, 64)
	median, medianErr := strconv.ParseInt(h.Get(headerMedianLatency), 10, 64)
	elapsed, elapsedErr := strconv.ParseInt(h.Get(headerCompletionTime), 10, 64)
	attempts, attemptsErr := strconv.Atoi(h.Get(headerAttempts))
	if o.Reply.Code != http.StatusOK || workErr != nil || medianErr != nil || elapsedErr != nil || attemptsErr != nil {
		out.reason = "another VM answered " + strconv.Itoa(o.Reply.Code)
		return out, 0
	}
	signatures := strings.Split(h.Get(headerSignatures), ",")
	if len(signatures) > shards {
		out.reason = "another VM answered for more shards"
		return out, 0
	}
	out.status, out.signatures, out.bodies = Served, signatures, [][]byte{o.Reply.Body}
	out.latency, out.elapsed, out.attempts = time.Duration(median)*time.Microsecond, time.Duration(elapsed)*time.Microsecond, attempts
	if len(signatures) < shards {
		out.reason = "missing at VM " + vm
	}
	return out, time.Duration(work) * time.Microsecond
}

// DelegatedQuery is a part of a query that another VM has delegated to this one.
type DelegatedQuery struct {
	Version     int64
	Fingerprint uint64
	MinShards   int
	Due         time.Duration
	// ShardIndexes are the indexes of the shards in the route.
	ShardIndexes []int
}

// ReadDelegated parses the headers of a request from another VM and removes them.
func ReadDelegated(h http.Header) (DelegatedQuery, error) {
	version, err1 := strconv.ParseInt(h.Get(headerVersion), 10, 64)
	fingerprint, err2 := strconv.ParseUint(h.Get(headerFingerprint), 16, 64)
	need, err3 := strconv.Atoi(h.Get(headerMinShards))
	due, err4 := strconv.ParseInt(h.Get(headerDue), 10, 64)
	d := DelegatedQuery{Version: version, Fingerprint: fingerprint, MinShards: need, Due: time.Duration(due) * time.Millisecond}
	for text := range strings.SplitSeq(h.Get(headerShards), ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			return DelegatedQuery{}, errors.Annotate(err, headerShards)
		}
		d.ShardIndexes = append(d.ShardIndexes, n)
	}
	for _, err := range []error{err1, err2, err3, err4} {
		if err != nil {
			return DelegatedQuery{}, errors.Trace(err)
		}
	}
	for _, name := range []string{headerShards, headerVersion, headerMinShards, headerDue, headerFingerprint} {
		h.Del(name)
	}
	return d, nil
}

// Subset returns the delegated shards of the route. It returns false if an index is
// out of range.
func (d DelegatedQuery) Subset(r *shuntroute.Route, start time.Time) (Subset, bool) {
	s := Subset{MinShards: d.MinShards, Due: start.Add(d.Due)}
	for _, n := range d.ShardIndexes {
		if n < 0 || n >= len(r.Shards) {
			return Subset{}, false
		}
		s.Shards = append(s.Shards, r.Shards[n])
	}
	return s, true
}

// WriteDelegated sets the headers of the response to another VM.
func WriteDelegated(h http.Header, a Answer, work time.Duration) {
	h.Set(headerSignatures, strings.Join(a.Signatures, ","))
	h.Set(headerWork, strconv.FormatInt(work.Microseconds(), 10))
	h.Set(headerMedianLatency, strconv.FormatInt(a.MedianLatency.Microseconds(), 10))
	h.Set(headerCompletionTime, strconv.FormatInt(a.CompletionTime.Microseconds(), 10))
	h.Set(headerAttempts, strconv.Itoa(a.Attempts))
}
