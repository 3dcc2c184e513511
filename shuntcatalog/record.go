package shuntcatalog

import (
	"context"
	"time"

	"github.com/juju/errors"

	"mulberryshunt.example/mulberryshunt/shuntroute"
)

// Record is one entry of the platform's store.
type Record struct {
	Key string
	// Revision is the revision of the entry's last change, or of its removal. Later
	// changes have higher revisions.
	Revision int64
	Value    []byte
	// Removed records have no value.
	Removed bool
}

// State is a set of records up to a revision: either all of them, or those
// changed after an earlier revision.
type State struct {
	Revision int64
	Records  []Record
}

// WithChanges returns the complete state s with later changes applied.
func (s State) WithChanges(changes State) State {
	changed := make(map[string]int, len(changes.Records))
	for i, r := range changes.Records {
		if j, ok := changed[r.Key]; !ok || changes.Records[j].Revision < r.Revision {
			changed[r.Key] = i
		}
	}
	out := State{Revision: max(s.Revision, changes.Revision)}
	for _, r := range s.Records {
		if i, ok := changed[r.Key]; !ok || changes.Records[i].Revision <= r.Revision {
			out.Records = append(out.Records, r)
			delete(changed, r.Key)
		}
	}
	for _, i := range changed {
		if r := changes.Records[i]; !r.Removed {
			out.Records = append(out.Records, r)
		}
	}
	return out
}

// Delta is the changes after some revision.
type Delta struct {
	State
	// Full means that the state is complete: records that neither it nor Unchanged has
	// have been removed.
	Full bool
	// Unchanged are the records of a full state that had the same revision before. Only
	// their keys are sent to other VMs, which know their contents.
	Unchanged []Record
}

// DecodedRecord is the content of a record. Exactly one of the fields is set.
type DecodedRecord struct {
	Table  *shuntroute.Table
	Server *shuntroute.Server
	// ZoneOutOfService is the name of an availability zone that an operator has
	// taken out of service.
	ZoneOutOfService string
}

// Decoder decodes records. now is the time at which the record was read.
type Decoder interface {
	Decode(r Record, now time.Time) (DecodedRecord, error)
}

// ErrCompacted is returned by Watch when the requested changes are no longer
// available: the state must be listed again.
var ErrCompacted = errors.New("the requested changes have been compacted")

// Source reads records from the platform's store. The revisions that it returns never
// go back, even if those of the store do.
type Source interface {
	// List returns all records, including every change made before the call.
	List(ctx context.Context) (State, error)
	// Watch waits until records have changed after the given revision and
	// returns them, or returns none once wait has passed. State.Revision is the
	// revision to continue from.
	Watch(ctx context.Context, after int64, wait time.Duration) (State, error)
}
