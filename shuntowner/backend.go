package shuntowner

import (
	"context"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
)

// Status classifies the reply of a backend server.
type Status uint8

// Statuses of replies.
const (
	// StatusDone means that the server ran the request.
	StatusDone Status = iota
	// StatusShed means that the server did not run the request because it was
	// overloaded.
	StatusShed
	// StatusSnapshotGone means that the server did not run the request because it
	// does not have the snapshot.
	StatusSnapshotGone
	// StatusExpired means that the server did not run the request because its
	// deadline had passed.
	StatusExpired
	// StatusLeaving means that the server did not run the request because it is
	// draining.
	StatusLeaving
	// StatusFault means that the server failed and that the request may have run.
	StatusFault
)

// Response is the reply of a backend server. Query, Attempt, Shard and Snapshot
// identify the request that it answers.
type Response struct {
	Status Status
	// Start is the start identity of the server process.
	Start    string
	Query    string
	Attempt  uint64
	Shard    string
	Snapshot shuntconfig.SnapshotID
	Rows     []byte
}

// ConnError reports that a connection failed during a request.
type ConnError struct {
	// Sent is false only if no byte of the request was passed to the network.
	Sent bool
	// Interrupted is true if the request ended by its deadline or by
	// cancellation, and false if the connection broke.
	Interrupted bool
	Err         error
}

// Error implements error.
func (e *ConnError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *ConnError) Unwrap() error { return e.Err }

// Conn is a connection to a backend server. It carries one request at a time.
type Conn interface {
	// Do sends r and waits for the response. A non-nil error is a *ConnError, and
	// the connection must not be used again after it.
	Do(ctx context.Context, r SubRequest) (Response, error)
	// Alive reports whether an idle connection can still be used, as far as is
	// known without sending anything.
	Alive() bool
	// Close closes the connection.
	Close() error
}

// Connector opens connections to backend servers.
type Connector interface {
	Connect(ctx context.Context, address string) (Conn, error)
}
