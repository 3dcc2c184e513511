package shuntowner

import (
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
)

// SubRequest is one attempt at one shard of a query, for one backend server.
type SubRequest struct {
	// Query is the request identity that the caller gave or the entry made.
	Query string
	// Attempt is unique within the query.
	Attempt  uint64
	Server   string
	Shard    string
	Snapshot shuntconfig.SnapshotID
	Class    shuntconfig.Class
	// Deadline is on the clock of the process that holds the value; between
	// processes it travels as the time that is left.
	Deadline   time.Time
	Idempotent bool
	// Suspect: a server died under the content before. At most one suspect is
	// in flight at a server, so that a further death tells whose it is.
	Suspect bool
	Body    []byte
}

// SubReply is what became of a SubRequest.
type SubReply struct {
	Query    string
	Attempt  uint64
	Server   string
	Shard    string
	Snapshot shuntconfig.SnapshotID
	// Outcome is Complete, NotRun or Unknown.
	Outcome shuntoutcome.Outcome
	Reason  shuntoutcome.Reason
	// Rows is the body that the backend server sent.
	Rows []byte
	// Latency is the time from the owner's receipt to its reply.
	Latency time.Duration
	// InFlight and Window report the server's load as the owner sees it.
	InFlight int
	Window   int
	// Crashed says that the server died with the attempt in flight.
	Crashed bool
	// Owner names the VM that holds the lease, when the reason is NotOwner
	// and the replying VM knows it.
	Owner string
}

func (r SubRequest) reply(o shuntoutcome.Outcome, why shuntoutcome.Reason) SubReply {
	return SubReply{
		Query:    r.Query,
		Attempt:  r.Attempt,
		Server:   r.Server,
		Shard:    r.Shard,
		Snapshot: r.Snapshot,
		Outcome:  o,
		Reason:   why,
	}
}

// NotRun returns the reply that r did not run, for the reason why.
func (r SubRequest) NotRun(why shuntoutcome.Reason) SubReply {
	return r.reply(shuntoutcome.NotRun, why)
}

// Unknown returns the reply that r may have run, for the reason why.
func (r SubRequest) Unknown(why shuntoutcome.Reason) SubReply {
	return r.reply(shuntoutcome.Unknown, why)
}
