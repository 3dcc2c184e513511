package shuntowner

import (
	"context"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
)

// Status is the class of a backend server's reply.
type Status uint8

// The statuses of replies.
const (
	// StatusDone: the server ran the request.
	StatusDone Status = iota
	// StatusShed: the server did not run the request, for want of room.
	StatusShed
	// StatusSnapshotGone: the server did not run it; it lacks the snapshot.
	StatusSnapshotGone
	// StatusExpired: the server did not run it; its deadline had passed.
	StatusExpired
	// StatusLeaving: the server did not run it; it drains.
	StatusLeaving
	// StatusFault: the server failed and does not say whether it ran.
	StatusFault
)

// Response is a backend server's reply, with the identities it states.
type Response struct {
	Status Status
	// Start identifies the life of the server's process.
	Start    string
	Query    string
	Attempt  uint64
	Shard    string
	Snapshot shuntconfig.SnapshotID
	Rows     []byte
}

// ConnError says that a connection failed during a request.
type ConnError struct {
	// Sent is false only when no byte of the request left this process.
	Sent bool
	// Interrupted is true when the connection gave nothing until the request's
	// time was up or it was cancelled; false when it broke.
	Interrupted bool
	Err         error
}

// Error implements error.
func (e *ConnError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ConnError) Unwrap() error { return e.Err }

// Conn is one connection to a backend server. It carries one request at a time.
type Conn interface {
	// Do sends r and waits for the response. A non-nil error is a *ConnError;
	// the connection is then of no further use.
	Do(ctx context.Context, r SubRequest) (Response, error)
	// Alive says whether the other end has, as far as is known here, not
	// closed the connection while it was idle.
	Alive() bool
	// Close closes the connection.
	Close() error
}

// Connector opens connections to backend servers.
type Connector interface {
	Connect(ctx context.Context, address string) (Conn, error)
}
