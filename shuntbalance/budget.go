package shuntbalance

import (
	"sync"
	"time"
)

const (
	// budgetSlices is the number of slices into which a window is divided.
	budgetSlices = 10
	// usableShare is the fraction of the shared budget that is spent. The rest covers
	// VMs that do not know of each other yet.
	usableShare = 0.8
)

// RetryBudgetConfig configures a RetryBudget.
type RetryBudgetConfig struct {
	// Ratio is the number of extra attempts that each request of a service allows.
	// Slack is the number that all VMs together may make in addition. Both apply
	// to one Window.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Share returns this VM's fraction of the slack, from 0 to 1.
	Share func() float64
}

// RetryBudget limits the hedges and retries of each service, so that they do not
// add load when everything fails at once. Each VM counts its own requests, so the
// allowances by ratio add up exactly; the slack is divided among the VMs.
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

// NewRetryBudget returns a budget without recorded requests.
func NewRetryBudget(c RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{config: c, services: map[string]*window{}}
}

var budgetEpoch = time.Now()

func (b *RetryBudget) currentSlice(service string, now time.Time) (*window, int) {
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
	w, i := b.currentSlice(service, time.Now())
	w.requests[i]++
}

// Allow reports whether an extra attempt may be made, and if so counts it. reserve
// is the fraction of the budget, from 0 to 1, that is left for more urgent attempts.
func (b *RetryBudget) Allow(service string, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.currentSlice(service, time.Now())
	requests, extras := 0, 0
	for j := range w.requests {
		requests += w.requests[j]
		extras += w.extras[j]
	}
	allowed := usableShare * (b.config.Ratio*float64(requests) + b.config.Slack*b.config.Share())
	if float64(extras+1) > allowed*(1-reserve) {
		return false
	}
	w.extras[i]++
	return true
}
