// Package shuntplatform is a read-only client of the platform. It lists, gets
// and watches the published documents, and lists the VMs.
package shuntplatform

import (
	"context"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
)

// KeyVersion is a key and its newest published version.
type KeyVersion struct {
	Key     shuntconfig.Key
	Version int64
}

// Listing is the set of all published keys at one revision of the store.
type Listing struct {
	Revision int64
	Keys     []KeyVersion
}

// Change is the result of a watch: the keys that changed after a revision. Keys
// is empty if the wait timed out.
type Change struct {
	Revision int64
	Keys     []KeyVersion
}

// VMState is the state of a VM according to the platform.
type VMState string

// The VM states.
const (
	VMLive    VMState = "Live"
	VMLeaving VMState = "Leaving"
)

// VMStatus is one entry of the platform's VM list. The list can be out of date.
type VMStatus struct {
	Name  string
	State VMState
}

// Reader reads the platform. Each method counts as one call against the
// platform's rate limit, also a Watch that waits.
type Reader interface {
	// List returns all keys and their newest versions.
	List(ctx context.Context) (Listing, error)
	// Get returns the newest version of the document with key k.
	Get(ctx context.Context, k shuntconfig.Key) (shuntconfig.Document, error)
	// Watch waits until there are changes after revision or the wait times
	// out.
	Watch(ctx context.Context, revision int64) (Change, error)
	// VMs returns the live and the leaving VMs.
	VMs(ctx context.Context) ([]VMStatus, error)
}
