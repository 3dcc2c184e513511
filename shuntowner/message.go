package shuntowner

import (
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
)

// SubRequest is one attempt to run a query for one shard on one backend server.
type SubRequest struct {
	// Query is the request ID, chosen by the caller or by the entry VM.
	Query string
	// Attempt is unique within the query.
	Attempt  uint64
	Server   string
	Shard    string
	Snapshot shuntconfig.SnapshotID
	Class    shuntconfig.Class
	// Deadline uses the clock of this process. Messages carry the remaining time
	// instead.
	Deadline   time.Time
	Idempotent bool
	// Suspect means that a server crashed while the same request was in flight. At
	// most one suspect is in flight on a server, so that another crash can be
	// attributed to it.
	Suspect bool
	Body    []byte
}

// SubReply is the result of a SubRequest.
type SubReply struct {
	Query    string
	Attempt  uint64
	Server   string
	Shard    string
	Snapshot shuntconfig.SnapshotID
	// Outcome is Complete, NotRun or Unknown.
	Outcome shuntoutcome.Outcome
	Reason  shuntoutcome.Reason
	// Rows is the body of the reply of the backend server.
	Rows []byte
	// Latency is the time that the sub-request took at the owner.
	Latency time.Duration
	// InFlight is the number of requests in flight on the server or queued for
	// it, and Window the current limit on those in flight.
	InFlight int
	Window   int
	// Crashed means that the connection broke while the attempt was in flight,
	// possibly because the server crashed.
	Crashed bool
	// Owner is the VM that holds the lease. It is set if the reason is NotOwner
	// and the replying VM knows the owner.
	Owner string
}

func (r SubRequest) reply(o shuntoutcome.Outcome, reason shuntoutcome.Reason) SubReply {
	return SubReply{
		Query:    r.Query,
		Attempt:  r.Attempt,
		Server:   r.Server,
		Shard:    r.Shard,
		Snapshot: r.Snapshot,
		Outcome:  o,
		Reason:   reason,
	}
}

// NotRun returns the reply that r did not run and the reason.
func (r SubRequest) NotRun(reason shuntoutcome.Reason) SubReply {
	return r.reply(shuntoutcome.NotRun, reason)
}

// Unknown returns the reply that r may have run and the reason.
func (r SubRequest) Unknown(reason shuntoutcome.Reason) SubReply {
	return r.reply(shuntoutcome.Unknown, reason)
}
