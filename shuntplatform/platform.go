// Package shuntplatform reads the platform: the published documents, which it
// can list, get and watch, and the list of VMs. It never writes.
package shuntplatform

import (
	"context"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
)

// KeyVersion is a key with its newest published version.
type KeyVersion struct {
	Key     shuntconfig.Key
	Version int64
}

// Listing is the set of published keys at one revision of the whole store.
type Listing struct {
	Revision int64
	Keys     []KeyVersion
}

// Change is what a watch returns: the keys that changed after a revision. No
// keys means that the wait ran out.
type Change struct {
	Revision int64
	Keys     []KeyVersion
}

// VMState is what the platform says of a VM.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "Live"
	VMLeaving VMState = "Leaving"
)

// VMStatus is one line of the platform's VM list, which lags.
type VMStatus struct {
	Name  string
	State VMState
}

// Reader reads the platform. Each method is one call towards the platform's
// rate, a waiting watch too.
type Reader interface {
	// List returns all keys and versions.
	List(ctx context.Context) (Listing, error)
	// Get returns the newest document of a key.
	Get(ctx context.Context, k shuntconfig.Key) (shuntconfig.Document, error)
	// Watch waits until something changes after revision, or the platform's
	// wait runs out.
	Watch(ctx context.Context, revision int64) (Change, error)
	// VMs returns the list of live and leaving VMs.
	VMs(ctx context.Context) ([]VMStatus, error)
}
