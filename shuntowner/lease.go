package shuntowner

import "time"

// LeaseState is what a VM knows of the ownership of one backend server.
type LeaseState struct {
	// Held says that this VM is the owner until Until.
	Held  bool
	Until time.Time
	// Owner is the VM that is believed to be the owner; "" when unknown.
	Owner string
	// LastOwner is the VM that was known as the owner last; it may still have
	// connections to the server.
	LastOwner string
	// CellSize is the number of VMs in the cell. Without any owner in reach, a
	// VM that still has connections to a warm server uses its share of one in
	// Voters of the window.
	CellSize int
}

// expiryMargin is what a cold dispatch keeps between the deadline that it
// sends and the end of the lease. It covers the difference between the clocks
// of the VM and the backend server.
const expiryMargin = 500 * time.Millisecond

// Leases says which VM owns a backend server now.
type Leases interface {
	Lease(server string, now time.Time) LeaseState
}
