package shuntfleet

import (
	"sync"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
)

const (
	// hintTime is how long a VM's reply that names the owner of a server is
	// trusted.
	hintTime = 5 * time.Second
	// unreachableTime is how long a VM is avoided after it could not be
	// reached.
	unreachableTime = 2 * time.Second
)

// Router determines the VM to send the requests for a backend server to: the
// owner according to the leases of this VM's cell, otherwise the owner that a
// reply has named, otherwise the VM that the placement assigns. The result may
// be wrong, in which case that VM rejects the requests before any of them runs.
type Router struct {
	view func() *View

	mu          sync.Mutex
	hints       map[string]hint
	unreachable map[string]time.Time
	// assigned caches the placement's assignment for each cell. It is computed
	// for cachedFor and for the VMs that are not in unreachable.
	assigned  map[string]map[string]string
	cachedFor cacheKey
}

// cacheKey is what the cached assignments depend on, apart from the unreachable
// VMs.
type cacheKey struct {
	placement   *Placement
	notLiveHash uint64
}

type hint struct {
	vm    string
	until time.Time
}

// NewRouter returns a Router that gets the current view from view.
func NewRouter(view func() *View) *Router {
	return &Router{
		view:        view,
		hints:       map[string]hint{},
		unreachable: map[string]time.Time{},
		assigned:    map[string]map[string]string{},
	}
}

// Route returns the VM to send the requests for a server to, or false if no VM
// is known that could own it.
func (r *Router) Route(server string) (string, bool) {
	v := r.view()
	now := time.Now()
	l := v.Lease(server, now)
	if l.Owner != "" {
		return l.Owner, true
	}
	if !v.majorityLive && l.LastOwner != "" && !v.notLive[l.LastOwner] {
		// Without a majority no VM has the lease, but the last owner may keep
		// using a warm server.
		return l.LastOwner, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if h, ok := r.hints[server]; ok && now.Before(h.until) {
		return h.vm, true
	}
	cell := v.Placement.Cell(server)
	vm := r.cellAssignment(v, cell, now)[server]
	return vm, vm != ""
}

func (r *Router) cellAssignment(v *View, cell string, now time.Time) map[string]string {
	r.expireUnreachable(now)
	if key := (cacheKey{v.Placement, v.notLiveHash}); r.cachedFor != key {
		clear(r.assigned)
		clear(r.hints)
		r.cachedFor = key
	}
	a, ok := r.assigned[cell]
	if !ok {
		a = v.Placement.Assign(cell, func(vm shuntconfig.VM) bool {
			_, unreachable := r.unreachable[vm.Name]
			return !unreachable && v.Tree.Fleet().VMInService(vm.Name) && v.mayBeLive(vm)
		})
		r.assigned[cell] = a
	}
	return a
}

func (r *Router) expireUnreachable(now time.Time) {
	for n, t := range r.unreachable {
		if !now.Before(t) {
			delete(r.unreachable, n)
			clear(r.assigned)
		}
	}
}

// RecordOwner records that a VM has named vm as the owner of a server.
func (r *Router) RecordOwner(server, vm string) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hints[server] = hint{vm, now.Add(hintTime)}
}

// MarkUnreachable records that a VM could not be reached.
func (r *Router) MarkUnreachable(vm string) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.unreachable[vm]; !ok {
		clear(r.assigned)
	}
	r.unreachable[vm] = now.Add(unreachableTime)
	for s, h := range r.hints {
		if h.vm == vm {
			delete(r.hints, s)
		}
	}
}
