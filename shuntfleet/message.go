package shuntfleet

import (
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntguard"
)

// Names of the RPC service and its methods that daemons call.
const (
	ServiceName = "Fleet"
	MethodBeat  = ServiceName + ".Beat"
	MethodFetch = ServiceName + ".Fetch"
)

// Status is what a VM reports about itself with every heartbeat.
type Status struct {
	VM    string
	Start string
	// Leaving is true if the VM takes no new leases and is no longer returned
	// to callers.
	Leaving bool
	// Ready is true if the VM has a configuration and can serve.
	Ready bool
	// FleetVersion is the version of the Fleet document in force at the VM.
	FleetVersion int64
	// Digest is a hash of all keys and versions in force at the VM.
	Digest uint64
	// Load is the number of queries that the VM is processing.
	Load int
}

// Beat is a heartbeat. Within a cell it also requests leases.
type Beat struct {
	Status Status
	// Sequence increases with each heartbeat of one process.
	Sequence uint64
	// WantsVersion is the version of the list of resources that the sender
	// requests. The list itself is in Wants and is only sent, with HasWants
	// set, while the receiver does not have that version.
	WantsVersion uint64
	HasWants     bool
	Wants        []uint64
	Suspicions   []shuntguard.Suspicion
}

// BeatReply is the reply to a heartbeat.
type BeatReply struct {
	Status Status
	// NeedWants is true if the receiver does not have the list of version
	// WantsVersion.
	NeedWants bool
	// AllGranted is true if the sender holds all resources that it requested.
	// Otherwise Holders has the holder of each resource, in the order of the
	// request.
	AllGranted bool
	Holders    []string
	Suspicions []shuntguard.Suspicion
}

// Fetch requests the documents that are newer than the given versions. Versions
// is in the order of Keys.
type Fetch struct {
	Keys     []string
	Versions []int64
}

// wireDocument is the encoding of a published document between daemons.
type wireDocument struct {
	Key     string
	Version int64
	Deleted bool
	Body    []byte
}

// FetchReply holds the requested documents. More is true if others did not fit.
type FetchReply struct {
	Documents []wireDocument
	More      bool
}

// maxFetchBytes limits the total size of the documents in one reply. A single
// larger document is sent alone.
const maxFetchBytes = 4 << 20

func newFetch(t *shuntconfig.Tree) Fetch {
	var f Fetch
	for k, v := range t.Versions() {
		f.Keys = append(f.Keys, string(k))
		f.Versions = append(f.Versions, v)
	}
	return f
}

func decodeDocuments(ws []wireDocument) []shuntconfig.Document {
	out := make([]shuntconfig.Document, len(ws))
	for i, w := range ws {
		out[i] = shuntconfig.Document{Key: shuntconfig.Key(w.Key), Version: w.Version, Deleted: w.Deleted, Body: w.Body}
	}
	return out
}

// newerDocuments returns the documents of t that are newer than the versions in
// f, up to maxFetchBytes.
func newerDocuments(t *shuntconfig.Tree, f Fetch) FetchReply {
	has := make(map[shuntconfig.Key]int64, len(f.Keys))
	for i, k := range f.Keys {
		if i < len(f.Versions) {
			has[shuntconfig.Key(k)] = f.Versions[i]
		}
	}
	var out FetchReply
	size := 0
	for k, v := range t.Versions() {
		if v <= has[k] {
			continue
		}
		d, _ := t.Document(k)
		if size > 0 && size+len(d.Body) > maxFetchBytes {
			out.More = true
			break
		}
		size += len(d.Body)
		out.Documents = append(out.Documents, wireDocument{string(d.Key), d.Version, d.Deleted, d.Body})
	}
	return out
}

// Timing of heartbeats.
const (
	// HeartbeatInterval is the time between two heartbeats to a VM of the same
	// cell.
	HeartbeatInterval = 500 * time.Millisecond
	// urgentHeartbeatInterval is the time between two heartbeats while this VM
	// lacks a lease that it wants.
	urgentHeartbeatInterval = 100 * time.Millisecond
	// remoteHeartbeatInterval is the time between two heartbeats to VMs of
	// other cells.
	remoteHeartbeatInterval = time.Second
	// deadAfter is how long a VM may be silent before it counts as dead and
	// other VMs take over its servers.
	deadAfter = 1600 * time.Millisecond
	// isolatedAfter is how long a VM accepts new work without hearing from the
	// platform or any other VM.
	isolatedAfter = 3 * time.Second
)
