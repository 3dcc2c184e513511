// Package shuntrandom provides a source of random numbers that many goroutines
// can share and that tests can seed.
package shuntrandom

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Source is a source of random numbers. It is safe for concurrent use.
type Source struct {
	mu   sync.Mutex
	rand *rand.Rand
}

// New returns a Source with the given seed, or with a random seed if it is 0.
func New(seed uint64) *Source {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &Source{rand: rand.New(rand.NewPCG(seed, seed))}
}

// IntN returns a random number in the range [0, n). It panics if n <= 0.
func (s *Source) IntN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.IntN(n)
}

// Float64 returns a random number in the range [0, 1).
func (s *Source) Float64() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.Float64()
}

// Duration returns a random duration in the range [0, d), or 0 if d <= 0.
func (s *Source) Duration(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rand.Int64N(int64(d)))
}

// Uint64 returns a random 64-bit number.
func (s *Source) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.Uint64()
}
