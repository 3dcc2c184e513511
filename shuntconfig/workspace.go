package shuntconfig

import (
	"fmt"
	"time"
)

// Class is the priority class of a workspace's queries.
type Class int

// The priority classes, in order of decreasing priority.
const (
	Interactive Class = iota
	Batch
	// Browse is shed first under overload.
	Browse
	classCount
)

// ClassCount is the number of priority classes.
const ClassCount = int(classCount)

var classNames = [...]string{"Interactive", "Batch", "Browse"}

// String returns the name of c in documents.
func (c Class) String() string {
	if c < 0 || c >= classCount {
		return fmt.Sprintf("Class(%d)", int(c))
	}
	return classNames[c]
}

// ParseClass returns the class with the given name.
func ParseClass(s string) (Class, bool) {
	for i, n := range classNames {
		if n == s {
			return Class(i), true
		}
	}
	return 0, false
}

// Workspace holds the settings of a workspace, after its parameters have been
// filled into its template. WorkspaceSettings describes them.
type Workspace struct {
	Name              string
	Template          string
	Services          []string
	Class             Class
	Deadline          time.Duration
	WaitForAll        bool
	MinimumCoverage   float64
	HedgeQuantile     float64
	HedgeFraction     float64
	RetryFraction     float64
	Canary            Canary
	MaximumConcurrent int
}

// Canary determines when a query whose content is not known to be harmless is
// sent to one shard before the others.
type Canary int

// The values of Canary. WorkspaceSettings explains them.
const (
	CanaryAfterCrash Canary = iota
	CanaryAlways
	CanaryNever
)

var canaryNames = [...]string{"AfterCrash", "Always", "Never"}

// String returns the name of c in documents.
func (c Canary) String() string {
	if c < 0 || int(c) >= len(canaryNames) {
		return fmt.Sprintf("Canary(%d)", int(c))
	}
	return canaryNames[c]
}

// ParseCanary returns the Canary with the given name.
func ParseCanary(s string) (Canary, bool) {
	for i, n := range canaryNames {
		if n == s {
			return Canary(i), true
		}
	}
	return 0, false
}

const (
	maxDeadline          = time.Hour
	maxHedgeFraction     = 0.5
	maxRetryFraction     = 1.0
	maxConcurrentQueries = 100_000
	minHedgeQuantile     = 0.5
	maxHedgeQuantile     = 0.9999
)

func (w Workspace) check() error {
	k := MakeKey(KindWorkspace, w.Name)
	if len(w.Services) == 0 {
		return &FieldError{k, "Services", "", "is empty"}
	}
	seen := map[string]bool{}
	for _, s := range w.Services {
		if err := checkName(k, "Services", s); err != nil {
			return err
		}
		if seen[s] {
			return &FieldError{k, "Services", s, "is there twice"}
		}
		seen[s] = true
	}
	if err := checkRange(k, "DeadlineMilliseconds", w.Deadline.Milliseconds(), 1, maxDeadline.Milliseconds()); err != nil {
		return err
	}
	if err := checkFraction(k, "MinimumCoverage", w.MinimumCoverage, 0, 1); err != nil {
		return err
	}
	if w.HedgeFraction > 0 {
		if err := checkFraction(k, "HedgeQuantile", w.HedgeQuantile, minHedgeQuantile, maxHedgeQuantile); err != nil {
			return err
		}
	}
	if err := checkFraction(k, "HedgeFraction", w.HedgeFraction, 0, maxHedgeFraction); err != nil {
		return err
	}
	if err := checkFraction(k, "RetryFraction", w.RetryFraction, 0, maxRetryFraction); err != nil {
		return err
	}
	return checkRange(k, "MaximumConcurrent", int64(w.MaximumConcurrent), 1, maxConcurrentQueries)
}
