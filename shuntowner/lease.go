package shuntowner

import "time"

// LeaseState describes what a VM knows about the owner of a backend server.
type LeaseState struct {
	// Held means that this VM holds the lease until the time Until.
	Held  bool
	Until time.Time
	// Owner is the VM that is believed to be the owner, or "" if unknown.
	Owner string
	// LastOwner is the last known owner. It may still have connections to the
	// server.
	LastOwner string
	// CellSize is the number of VMs in the cell. If no owner is known, a VM that
	// still has connections to a warm server uses 1/CellSize of the window.
	CellSize int
}

// maxClockSkew is the assumed maximum difference between the clocks of a VM and a
// backend server. On a cold server, the deadline of a request is at least this
// much before the end of the lease.
const maxClockSkew = 500 * time.Millisecond

// Leases returns the lease state of backend servers.
type Leases interface {
	Lease(server string, now time.Time) LeaseState
}
