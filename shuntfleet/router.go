package shuntfleet

import (
	"sync"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
)

const (
	// hintTime is how long a VM's word on who owns a server is believed.
	hintTime = 5 * time.Second
	// lostTime is how long a VM that could not be reached is passed over.
	lostTime = 2 * time.Second
)

// Router says which VM to send a backend server's requests to: the owner that
// the cell's own leases name, else what a reply hinted at, else the VM that
// the placement would choose. It may be wrong; the VM asked then says so
// before anything runs.
type Router struct {
	view func() *View

	mu    sync.Mutex
	hints map[string]hint
	lost  map[string]time.Time
	// assigned caches the placement's choice by cell, for the placement, the
	// live VMs of the own cell and the lost VMs.
	assigned map[string]map[string]string
	cached   cachedFor
}

// cachedFor is what the cached choices were made for.
type cachedFor struct {
	placement *Placement
	live      uint64
}

type hint struct {
	vm    string
	until time.Time
}

// NewRouter returns a Router that reads view.
func NewRouter(view func() *View) *Router {
	return &Router{
		view:     view,
		hints:    map[string]hint{},
		lost:     map[string]time.Time{},
		assigned: map[string]map[string]string{},
	}
}

// Route returns the VM to ask; false when no VM is known that could own the server.
func (r *Router) Route(server string) (string, bool) {
	v := r.view()
	now := time.Now()
	l := v.Lease(server, now)
	if l.Owner != "" {
		return l.Owner, true
	}
	if !v.majority && l.LastOwner != "" && !v.unheard[l.LastOwner] {
		// Nobody has the lease, for want of a majority. Whoever had it may go
		// on with a warm server.
		return l.LastOwner, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if h, ok := r.hints[server]; ok && now.Before(h.until) {
		return h.vm, true
	}
	cell := v.Placement.Cell(server)
	vm := r.assign(v, cell, now)[server]
	return vm, vm != ""
}

func (r *Router) assign(v *View, cell string, now time.Time) map[string]string {
	r.expireLost(now)
	if now := (cachedFor{v.Placement, v.live}); r.cached != now {
		clear(r.assigned)
		clear(r.hints)
		r.cached = now
	}
	a, ok := r.assigned[cell]
	if !ok {
		a = v.Placement.Assign(cell, func(vm shuntconfig.VM) bool {
			_, lost := r.lost[vm.Name]
			return !lost && v.Tree.Fleet().VMInService(vm.Name) && v.mayServe(vm)
		})
		r.assigned[cell] = a
	}
	return a
}

func (r *Router) expireLost(now time.Time) {
	for n, t := range r.lost {
		if !now.Before(t) {
			delete(r.lost, n)
			clear(r.assigned)
		}
	}
}

// RecordOwner takes over a VM's word that another one owns a server.
func (r *Router) RecordOwner(server, vm string) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hints[server] = hint{vm, now.Add(hintTime)}
}

// MarkUnreachable books that a VM could not be reached.
func (r *Router) MarkUnreachable(vm string) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.lost[vm]; !ok {
		clear(r.assigned)
	}
	r.lost[vm] = now.Add(lostTime)
	for s, h := range r.hints {
		if h.vm == vm {
			delete(r.hints, s)
		}
	}
}
