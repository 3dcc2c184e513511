package shuntfleet

import (
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntguard"
)

// Names of the fleet's calls between daemons.
const (
	ServiceName = "Fleet"
	MethodBeat  = ServiceName + ".Beat"
	MethodFetch = ServiceName + ".Fetch"
)

// Status is what a VM tells of itself with every heartbeat.
type Status struct {
	VM    string
	Start string
	// Leaving: the VM takes no new leases and is not named to callers.
	Leaving bool
	// Ready: the VM has a configuration and serves.
	Ready bool
	// FleetVersion is the version of the Fleet document in force at the VM.
	FleetVersion int64
	// Digest stands for all keys and versions in force at the VM.
	Digest uint64
	// Load is the number of queries that the VM works on.
	Load int
}

// Beat is a heartbeat. Within a cell it asks for leases too.
type Beat struct {
	Status Status
	// Sequence grows with each heartbeat of one life.
	Sequence uint64
	// WantsVersion names the list of wanted resources. Wants is only sent
	// while the receiver doesn't know that list.
	WantsVersion uint64
	HasWants     bool
	Wants        []uint64
	Suspicions   []shuntguard.Suspicion
}

// BeatReply answers a heartbeat.
type BeatReply struct {
	Status Status
	// NeedWants: the receiver doesn't know the list named by WantsVersion.
	NeedWants bool
	// AllGranted stands for a Holders list that names the sender throughout.
	AllGranted bool
	Holders    []string
	Suspicions []shuntguard.Suspicion
}

// Fetch asks for documents that are newer than the versions named.
type Fetch struct {
	Keys     []string
	Versions []int64
}

// wireDocument is a published document between daemons.
type wireDocument struct {
	Key     string
	Version int64
	Deleted bool
	Body    []byte
}

// FetchReply carries documents; More says that others did not fit.
type FetchReply struct {
	Documents []wireDocument
	More      bool
}

// maxFetchBytes bounds the documents in one reply.
const maxFetchBytes = 4 << 20

func encodeVersions(t *shuntconfig.Tree) Fetch {
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

// newer returns the documents of t that f lacks, as many as fit.
func newer(t *shuntconfig.Tree, f Fetch) FetchReply {
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
	// HeartbeatInterval is the time between two heartbeats to a VM of the cell.
	HeartbeatInterval = 500 * time.Millisecond
	// urgentInterval is the time between heartbeats while a wanted lease is missing.
	urgentInterval = 100 * time.Millisecond
	// farInterval is the time between two heartbeats to VMs outside of the cell.
	farInterval = time.Second
	// deadAfter is how long a VM may be unheard before others take its place.
	deadAfter = 1600 * time.Millisecond
	// isolatedAfter is how long a VM may hear neither platform nor VMs before
	// it takes no more work.
	isolatedAfter = 3 * time.Second
)
