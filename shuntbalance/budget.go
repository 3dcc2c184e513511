package shuntbalance

import (
	"sync"
	"time"
)

const (
	// budgetSlices is in how many slices a window is counted.
	budgetSlices = 10
	// budgetShare is the part of the common budget that is used: VMs that do
	// not know of each other must stay within it together.
	budgetShare = 0.8
)

// RetryBudgetConfig is what a RetryBudget is made of.
type RetryBudgetConfig struct {
	// Ratio is how many extra attempts each request of a service allows, and
	// Slack how many more all VMs together have, both in Window.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Share returns this VM's part of the slack, from 0 to 1.
	Share func() float64
}

// RetryBudget bounds the extra attempts at each service: hedges and retries
// stop adding load when everything fails at once. Each VM counts its own
// requests, so the shares by ratio add up exactly; the slack is divided.
type RetryBudget struct {
	config RetryBudgetConfig

	mu       sync.Mutex
	services map[string]*window
}

type window struct {
	slice    int64
	requests [budgetSlices + 1]int
	extras   [budgetSlices + 1]int
}

// NewRetryBudget returns a budget that has counted nothing.
func NewRetryBudget(c RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{config: c, services: map[string]*window{}}
}

var budgetEpoch = time.Now()

func (b *RetryBudget) at(service string, now time.Time) (*window, int) {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	slice := int64(now.Sub(budgetEpoch) / (b.config.Window / budgetSlices))
	for w.slice < slice {
		if slice-w.slice > budgetSlices {
			w.slice = slice - budgetSlices - 1
		}
		w.slice++
		i := w.slice % (budgetSlices + 1)
		w.requests[i], w.extras[i] = 0, 0
	}
	return w, int(w.slice % (budgetSlices + 1))
}

// RecordRequest counts a request to the service.
func (b *RetryBudget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.at(service, time.Now())
	w.requests[i]++
}

// Allow counts an extra attempt and reports whether it may be made. reserve, from
// 0 to 1, is the part of the budget that this attempt leaves to more urgent ones.
func (b *RetryBudget) Allow(service string, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.at(service, time.Now())
	requests, extras := 0, 0
	for j := range w.requests {
		requests += w.requests[j]
		extras += w.extras[j]
	}
	allowed := budgetShare * (b.config.Ratio*float64(requests) + b.config.Slack*b.config.Share())
	if float64(extras+1) > allowed*(1-reserve) {
		return false
	}
	w.extras[i]++
	return true
}
