// Package shuntrandom gives random numbers to many goroutines from one source
// that tests can seed.
package shuntrandom

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Source is a source of random numbers. It may be used by several goroutines.
type Source struct {
	mu   sync.Mutex
	rand *rand.Rand
}

// New returns a Source with the given seed; 0 takes a random one.
func New(seed uint64) *Source {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &Source{rand: rand.New(rand.NewPCG(seed, seed))}
}

// IntN returns a number from 0 up to n, without n. n must be above 0.
func (s *Source) IntN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.IntN(n)
}

// Float64 returns a number from 0 up to 1, without 1.
func (s *Source) Float64() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.Float64()
}

// Duration returns a duration from 0 up to d, without d. It returns 0 for a d
// that is not above 0.
func (s *Source) Duration(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rand.Int64N(int64(d)))
}

// Uint64 returns a random number.
func (s *Source) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.Uint64()
}
