package shuntfake

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntplatform"
)

// watchTimeout is the time after which a watch returns without changes.
const watchTimeout = 30 * time.Second

// Platform simulates the platform's configuration service. The test or
// demonstration publishes documents to it, and the system reads them.
type Platform struct {
	mu       sync.Mutex
	revision int64
	docs     map[shuntconfig.Key]storedDocument
	vms      []shuntplatform.VMStatus
	changed  chan struct{}
	down     bool
	stale    map[shuntconfig.Key]shuntconfig.Document

	calls atomic.Int64
	bytes atomic.Int64
}

// storedDocument is a document with the platform's revision that published it.
type storedDocument struct {
	doc      shuntconfig.Document
	revision int64
}

// ErrDown is returned by all reads while the platform is down.
var ErrDown = errors.New("platform is down")

// NewPlatform returns an empty Platform.
func NewPlatform() *Platform {
	return &Platform{docs: map[shuntconfig.Key]storedDocument{}, changed: make(chan struct{}), stale: map[shuntconfig.Key]shuntconfig.Document{}}
}

// Publish stores a new version of a document and returns that version.
func (p *Platform) Publish(k shuntconfig.Key, body []byte) int64 {
	return p.store(k, body, false)
}

// Delete stores a deletion as a new version of a document and returns that version.
func (p *Platform) Delete(k shuntconfig.Key) int64 {
	return p.store(k, nil, true)
}

func (p *Platform) store(k shuntconfig.Key, body []byte, deleted bool) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	v := p.docs[k].doc.Version + 1
	p.docs[k] = storedDocument{shuntconfig.Document{Key: k, Version: v, Deleted: deleted, Body: body}, p.revision}
	close(p.changed)
	p.changed = make(chan struct{})
	return v
}

// SetVMs sets the list of VMs.
func (p *Platform) SetVMs(vms ...shuntplatform.VMStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = vms
}

// SetDown makes all reads fail, including watches in progress, or succeed again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	close(p.changed)
	p.changed = make(chan struct{})
}

// Down reports whether the platform is down.
func (p *Platform) Down() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down
}

// SetStale makes Get return d instead of the newest version of its key.
func (p *Platform) SetStale(d shuntconfig.Document) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale[d.Key] = d
}

// Calls returns the number of reads so far.
func (p *Platform) Calls() int64 { return p.calls.Load() }

// DocumentBytes returns the total size of the document bodies read so far.
func (p *Platform) DocumentBytes() int64 { return p.bytes.Load() }

// List implements shuntplatform.Reader.
func (p *Platform) List(context.Context) (shuntplatform.Listing, error) {
	p.calls.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return shuntplatform.Listing{}, ErrDown
	}
	return shuntplatform.Listing{Revision: p.revision, Keys: p.changesSince(0)}, nil
}

func (p *Platform) changesSince(revision int64) []shuntplatform.KeyVersion {
	var out []shuntplatform.KeyVersion
	for k, s := range p.docs {
		if s.revision > revision {
			out = append(out, shuntplatform.KeyVersion{Key: k, Version: s.doc.Version})
		}
	}
	slices.SortFunc(out, func(a, b shuntplatform.KeyVersion) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return out
}

// Get implements shuntplatform.Reader.
func (p *Platform) Get(_ context.Context, k shuntconfig.Key) (shuntconfig.Document, error) {
	p.calls.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return shuntconfig.Document{}, ErrDown
	}
	if d, ok := p.stale[k]; ok {
		return d, nil
	}
	s, ok := p.docs[k]
	if !ok {
		return shuntconfig.Document{}, errors.NotFoundf("document %q", k)
	}
	p.bytes.Add(int64(len(s.doc.Body)))
	return s.doc, nil
}

// Watch implements shuntplatform.Reader.
func (p *Platform) Watch(ctx context.Context, revision int64) (shuntplatform.Change, error) {
	p.calls.Add(1)
	t := time.NewTimer(watchTimeout)
	defer t.Stop()
	for {
		p.mu.Lock()
		down, current, keys, changed := p.down, p.revision, p.changesSince(revision), p.changed
		p.mu.Unlock()
		switch {
		case down:
			return shuntplatform.Change{}, ErrDown
		case len(keys) > 0:
			return shuntplatform.Change{Revision: current, Keys: keys}, nil
		}
		select {
		case <-changed:
		case <-t.C:
			return shuntplatform.Change{Revision: current}, nil
		case <-ctx.Done():
			return shuntplatform.Change{}, ctx.Err()
		}
	}
}

// VMs implements shuntplatform.Reader.
func (p *Platform) VMs(context.Context) ([]shuntplatform.VMStatus, error) {
	p.calls.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, ErrDown
	}
	return slices.Clone(p.vms), nil
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+shuntplatform.PathKeys, func(w http.ResponseWriter, r *http.Request) {
		l, err := p.List(r.Context())
		writeReply(w, err, func() ([]byte, error) { return shuntplatform.EncodeListing(l.Revision, l.Keys) })
	})
	m.HandleFunc("GET "+shuntplatform.PathWatch, func(w http.ResponseWriter, r *http.Request) {
		since, err := strconv.ParseInt(r.URL.Query().Get(shuntplatform.ParamRevision), 10, 64)
		if err != nil {
			http.Error(w, "Revision is not a number", http.StatusBadRequest)
			return
		}
		c, err := p.Watch(r.Context(), since)
		writeReply(w, err, func() ([]byte, error) { return shuntplatform.EncodeListing(c.Revision, c.Keys) })
	})
	m.HandleFunc("GET "+shuntplatform.PathVMs, func(w http.ResponseWriter, r *http.Request) {
		vms, err := p.VMs(r.Context())
		writeReply(w, err, func() ([]byte, error) { return shuntplatform.EncodeVMs(vms) })
	})
	m.HandleFunc("GET "+shuntplatform.PathDocument+"{key...}", func(w http.ResponseWriter, r *http.Request) {
		k, err := url.PathUnescape(r.PathValue("key"))
		if err != nil {
			http.Error(w, "key can't be read", http.StatusBadRequest)
			return
		}
		d, err := p.Get(r.Context(), shuntconfig.Key(k))
		w.Header().Set(shuntplatform.HeaderVersion, strconv.FormatInt(d.Version, 10))
		w.Header().Set(shuntplatform.HeaderDeleted, strconv.FormatBool(d.Deleted))
		writeReply(w, err, func() ([]byte, error) { return d.Body, nil })
	})
	return m
}

// writeReply writes the body, or err as an HTTP status and message.
func writeReply(w http.ResponseWriter, err error, body func() ([]byte, error)) {
	if errors.Is(err, errors.NotFound) {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	b, err := body()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(b)
}
