package shuntcatalog

import (
	"context"
	"time"

	"github.com/juju/errors"

	"mulberryshunt.example/mulberryshunt/shuntroute"
)

// Record is one published item as it is stored.
type Record struct {
	Key string
	// Revision is that of the item's last change, or of its removal.
	Revision int64
	Value    []byte
	Removed  bool
}

// State is all records up to a revision.
type State struct {
	Revision int64
	Records  []Record
}

// Delta is what changed after some revision.
type Delta struct {
	State
	// Full says that the state is everything: what it does not hold is gone.
	Full bool
}

// DecodedRecord is what a record says: exactly one of the fields is set.
type DecodedRecord struct {
	Table  *shuntroute.Table
	Server *shuntroute.Server
	// ZoneOutOfService is the name of an availability zone that is out of service.
	ZoneOutOfService string
}

// Decoder turns records into facts. now is when the record was read.
type Decoder interface {
	Decode(r Record, now time.Time) (DecodedRecord, error)
}

// ErrCompacted is returned by Watch when the changes asked for are no longer
// kept: the state must be listed anew.
var ErrCompacted = errors.New("the history asked for is gone")

// Source is where records are read.
type Source interface {
	// List returns all records. They are at least as new as the call.
	List(ctx context.Context) (State, error)
	// Watch returns the records changed after the revision, as soon as there is
	// one, or none once wait is over. State.Revision is where to go on.
	Watch(ctx context.Context, after int64, wait time.Duration) (State, error)
}
