// Package shuntoutcome defines the outcomes and reasons in answers, and the texts
// that explain them to callers and operators.
package shuntoutcome

import "fmt"

// Outcome is the result of a request. Outcomes are values, not errors.
type Outcome uint8

// The outcomes; outcomeDocs describes each.
const (
	// Unknown is the zero value, so that an outcome that was never set claims
	// nothing about whether the request ran.
	Unknown Outcome = iota
	Complete
	Partial
	NotRun
	outcomeCount
)

// Reason is why an outcome is not Complete.
type Reason uint8

// The reasons; reasonDocs describes each.
const (
	None Reason = iota
	DeadlinePassed
	QueueFull
	QueueTimeout
	Overloaded
	Shed
	NotOwner
	NoReplica
	ServerLeaving
	ConnectFailed
	ConnectionLost
	ReplyMismatch
	SnapshotGone
	Cancelled
	Quarantined
	CrashSuspect
	Isolated
	ShuttingDown
	NoWorkspace
	NoTicket
	BadTicket
	TicketExpired
	TicketUsed
	HomeGone
	PeerLost
	BelowMinimum
	BadRequest
	ServerFault
	Straggler
	reasonCount
)

// Doc is the documentation of an outcome or reason, from which the documentation
// pages are generated. Since is the first release that has it.
type Doc struct {
	Name  string
	Text  string
	Since string
}

var outcomeDocs = [outcomeCount]Doc{
	Unknown:  {"Unknown", "The request may or may not have run, in whole or in part. Ask again only if it is idempotent.", "0.1"},
	Complete: {"Complete", "Every shard of the stated snapshot answered.", "0.1"},
	Partial:  {"Partial", "Some shards answered; the missing ones are listed with reasons.", "0.1"},
	NotRun:   {"NotRun", "No backend server ran any part of the request. It is safe to send it again.", "0.1"},
}

var reasonDocs = [reasonCount]Doc{
	None:           {"None", "Nothing to explain.", "0.1"},
	DeadlinePassed: {"DeadlinePassed", "The deadline passed first.", "0.1"},
	QueueFull:      {"QueueFull", "The queue before the backend server was full.", "0.1"},
	QueueTimeout:   {"QueueTimeout", "The request waited in a queue until it could no longer finish in time.", "0.1"},
	Overloaded:     {"Overloaded", "The VM took no more work of this priority class. Wait for RetryAfterMilliseconds.", "0.1"},
	Shed:           {"Shed", "The backend server refused the request without running it.", "0.1"},
	NotOwner:       {"NotOwner", "The VM that was asked holds no lease on the backend server.", "0.1"},
	NoReplica:      {"NoReplica", "No replica of the shard was in service.", "0.1"},
	ServerLeaving:  {"ServerLeaving", "The backend server or its availability zone is leaving.", "0.1"},
	ConnectFailed:  {"ConnectFailed", "No connection to the backend server could be opened.", "0.1"},
	ConnectionLost: {"ConnectionLost", "The connection ended after the request was sent.", "0.1"},
	ReplyMismatch:  {"ReplyMismatch", "The reply belonged to another request, attempt, shard or snapshot and was dropped.", "0.1"},
	SnapshotGone:   {"SnapshotGone", "The backend server no longer holds, or does not yet hold, the pinned snapshot.", "0.1"},
	Cancelled:      {"Cancelled", "The caller went away, or another attempt answered first.", "0.1"},
	Quarantined:    {"Quarantined", "Requests with this content crashed several backend servers and are refused for a time.", "0.1"},
	CrashSuspect:   {"CrashSuspect", "A request with this content was in flight when a server died; only one may run at a time.", "0.1"},
	Isolated:       {"Isolated", "The VM reaches neither the platform nor any other VM.", "0.1"},
	ShuttingDown:   {"ShuttingDown", "The VM is leaving and takes no new work.", "0.1"},
	NoWorkspace:    {"NoWorkspace", "The workspace is not published, or its documents don't resolve.", "0.1"},
	NoTicket:       {"NoTicket", "A non-idempotent request needs a ticket from POST /v1/tickets.", "0.1"},
	BadTicket:      {"BadTicket", "The ticket was not made by this system.", "0.1"},
	TicketExpired:  {"TicketExpired", "The ticket expired before the request came.", "0.1"},
	TicketUsed:     {"TicketUsed", "The ticket was claimed for another request.", "0.1"},
	HomeGone:       {"HomeGone", "The VM that made the ticket is gone, and with it the record of whether the request ran.", "0.1"},
	PeerLost:       {"PeerLost", "The connection to the owner VM was lost.", "0.1"},
	BelowMinimum:   {"BelowMinimum", "Coverage is below the workspace's MinimumCoverage.", "0.1"},
	BadRequest:     {"BadRequest", "The request is malformed.", "0.1"},
	Straggler:      {"Straggler", "The shard took far longer than its service usually does, and the workspace does not wait for all.", "0.1"},
	ServerFault:    {"ServerFault", "The backend server answered with an error of its own.", "0.1"},
}

// String returns the name of o as it appears in answers.
func (o Outcome) String() string {
	if o >= outcomeCount {
		return fmt.Sprintf("Outcome(%d)", uint8(o))
	}
	return outcomeDocs[o].Name
}

// String returns the name of r as it appears in answers.
func (r Reason) String() string {
	if r >= reasonCount {
		return fmt.Sprintf("Reason(%d)", uint8(r))
	}
	return reasonDocs[r].Name
}

// Text returns a sentence that explains r, or "" if r is not a known reason.
func (r Reason) Text() string {
	if r >= reasonCount {
		return ""
	}
	return reasonDocs[r].Text
}

// OutcomeDocs returns the documentation of all outcomes.
func OutcomeDocs() []Doc { return outcomeDocs[:] }

// ReasonDocs returns the documentation of all reasons.
func ReasonDocs() []Doc { return reasonDocs[:] }
