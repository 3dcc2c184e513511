package shuntowner

import (
	"container/heap"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
)

// waiter is a sub-request that waits for a slot.
type waiter struct {
	class    shuntconfig.Class
	deadline time.Time
	sequence uint64
	// result receives the waitResult. Its buffer of one lets the sender continue
	// at once.
	result chan waitResult
	index  int
}

// waitResult is either a slot or a refusal.
type waitResult struct {
	slot    *slot
	refusal refusal
}

// waiters is a priority queue, ordered by class, then by deadline, then by arrival.
type waiters []*waiter

func (q waiters) Len() int { return len(q) }

func (q waiters) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.class != b.class {
		return a.class < b.class
	}
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.sequence < b.sequence
}

func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push implements heap.Interface.
func (q *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waiters) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}

func (q *waiters) add(w *waiter) { heap.Push(q, w) }

func (q *waiters) first() *waiter {
	if len(*q) == 0 {
		return nil
	}
	return (*q)[0]
}

func (q *waiters) popFirst() *waiter { return heap.Pop(q).(*waiter) }

// remove removes w and reports whether it was still queued.
func (q *waiters) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(q, w.index)
	return true
}

// last returns the waiter with the lowest priority, which is evicted when the queue
// is full.
func (q *waiters) last() *waiter {
	var out *waiter
	for i, w := range *q {
		if out == nil || q.Less(out.index, i) {
			out = w
		}
	}
	return out
}
