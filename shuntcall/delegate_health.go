package shuntcall

import (
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// overdueGrace is how long after its due time a reply of another VM may still be
	// on its way before the VM counts as stalled.
	overdueGrace = 40 * time.Millisecond
	// minDelegateBackoff and maxDelegateBackoff bound the time for which a VM that
	// failed is passed over. The time doubles with each failure in a row.
	minDelegateBackoff = 250 * time.Millisecond
	maxDelegateBackoff = 2 * time.Second
)

// delegateHealth tells which VMs can be relied upon to gather shards in time. A VM
// that stalls, as by a pause of its process, shows by replies that are overdue, long
// before the other VMs notice its silence.
type delegateHealth struct {
	mu  sync.Mutex
	vms map[string]*delegateState
}

type delegateState struct {
	// open holds the due times of open requests by the order in which they began.
	open map[int]time.Time
	next int
	// lastReply is when the VM last answered.
	lastReply time.Time
	// passedOverUntil is when a VM that failed is tried again.
	passedOverUntil time.Time
	backoff         time.Duration
}

func (h *delegateHealth) state(vm string) *delegateState {
	if h.vms == nil {
		h.vms = map[string]*delegateState{}
	}
	s := h.vms[vm]
	if s == nil {
		s = &delegateState{open: map[int]time.Time{}}
		h.vms[vm] = s
	}
	return s
}

// begin records a request to the VM that is to be answered by due. It returns the
// number of the request.
func (h *delegateHealth) begin(vm string, due time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.state(vm)
	s.next++
	s.open[s.next] = due
	return s.next
}

// end records the end of a request, which the VM answered or which was cancelled; if
// neither is so, the VM failed.
func (h *delegateHealth) end(vm string, number int, now time.Time, answered, cancelled bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.state(vm)
	overdue := now.Sub(s.open[number]) > overdueGrace
	delete(s.open, number)
	if answered {
		s.lastReply = now
	}
	if (answered || cancelled) && !overdue {
		s.backoff = 0
		return
	}
	if now.Before(s.passedOverUntil) {
		return
	}
	s.backoff = min(max(minDelegateBackoff, 2*s.backoff), maxDelegateBackoff)
	s.passedOverUntil = now.Add(s.backoff)
	klog.InfoS("VM passed over as a delegate", "vm", vm, "overdue", overdue, "pause", s.backoff.Milliseconds())
}

// heardSince reports whether the VM has answered any request since then.
func (h *delegateHealth) heardSince(vm string, then time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state(vm).lastReply.After(then)
}

// usable reports whether the VM has no overdue request and is not passed over.
func (h *delegateHealth) usable(vm string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.vms[vm]
	if !ok {
		return true
	}
	for _, due := range s.open {
		if now.Sub(due) > overdueGrace {
			return false
		}
	}
	return !now.Before(s.passedOverUntil)
}

// prune forgets VMs without open requests that are not passed over.
func (h *delegateHealth) prune(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for vm, s := range h.vms {
		if len(s.open) == 0 && now.Sub(s.passedOverUntil) > maxDelegateBackoff {
			delete(h.vms, vm)
		}
	}
}
