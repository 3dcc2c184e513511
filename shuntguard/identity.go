package shuntguard

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxExact limits the number of exact fingerprints that are known, and
	// maxExactPerSuspect those of one suspect.
	maxExact           = 2048
	maxExactPerSuspect = 4
)

// Identity holds the fingerprints of a request.
type Identity struct {
	// Content is the same for all repeats of a request. All of Guard goes by it.
	Content uint64
	// Exact also depends on what may differ between repeats. VMs of older builds go by
	// it. It is 0 if it is not known.
	Exact uint64
}

// exactForm is one exact fingerprint of a request.
type exactForm struct {
	content uint64
	seenAt  time.Time
	// sends counts how often it has been exported since the suspicion last changed.
	sends int
}

// Recognize connects what other VMs say of the exact request with its content. It must be
// called before the other methods are asked about a request that has just arrived.
func (g *Guard) Recognize(id Identity) {
	if id.Exact == 0 || id.Exact == id.Content {
		return
	}
	now := time.Now()
	g.mu.Lock()
	news := g.recognize(id, now)
	g.mu.Unlock()
	if news {
		g.onNews()
	}
}

func (g *Guard) recognize(id Identity, now time.Time) (news bool) {
	if e, ok := g.suspects[id.Exact]; ok {
		reported := e.export(id.Content, now)
		g.remove(id.Exact)
		news = !e.expired(now) && g.mergeReported(reported, now)
	}
	if s, ok := g.suspects[id.Content]; ok && !s.expired(now) {
		news = g.addExact(id, now) || news
	}
	return news
}

// RecordLost records that a server may have run the request without answering. If it has
// crashed, VMs of older builds are told of the request by its exact fingerprint.
func (g *Guard) RecordLost(id Identity) {
	if id.Exact == 0 {
		return
	}
	g.mu.Lock()
	isNew := g.addExact(id, time.Now())
	_, suspected := g.suspects[id.Content]
	g.mu.Unlock()
	if isNew && suspected {
		g.onNews()
	}
}

// addExact adds an exact fingerprint and reports whether it is new.
func (g *Guard) addExact(id Identity, now time.Time) bool {
	if f, ok := g.exact[id.Exact]; ok {
		f.seenAt = now
		return false
	}
	of := 0
	for _, f := range g.exact {
		if f.content == id.Content {
			of++
		}
	}
	if of >= maxExactPerSuspect {
		return false
	}
	if len(g.exact) >= maxExact {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(g.exact)), func(a, b uint64) int {
			return g.exact[a].seenAt.Compare(g.exact[b].seenAt)
		})
		delete(g.exact, oldest)
	}
	g.exact[id.Exact] = &exactForm{content: id.Content, seenAt: now}
	return true
}

// contentOf returns the fingerprint of the content, given that or an exact one.
func (g *Guard) contentOf(fingerprint uint64) uint64 {
	if f, ok := g.exact[fingerprint]; ok {
		return f.content
	}
	return fingerprint
}

// ExactTable tells of the suspects of a Guard by their exact fingerprints.
type ExactTable struct{ guard *Guard }

// Exact returns the suspects by their exact fingerprints, for VMs of older builds.
func (g *Guard) Exact() ExactTable { return ExactTable{g} }

// Export returns up to limit suspects, in the order of Guard.Export.
func (t ExactTable) Export(limit int) []Suspicion { return t.export(limit, false) }

// News returns up to limit suspects that have changed lately.
func (t ExactTable) News(limit int) []Suspicion { return t.export(limit, true) }

// Merge adds suspects as Guard.Merge does.
func (t ExactTable) Merge(in []Suspicion) { t.guard.Merge(in) }

func (t ExactTable) export(limit int, newsOnly bool) []Suspicion {
	now := time.Now()
	g := t.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	var chosen []uint64
	for e, f := range g.exact {
		if s, ok := g.suspects[f.content]; ok && !s.expired(now) && (!newsOnly || f.sends < newsSends) {
			chosen = append(chosen, e)
		}
	}
	slices.SortFunc(chosen, func(a, b uint64) int {
		x, y := g.suspects[g.exact[a].content], g.suspects[g.exact[b].content]
		if x.repeated() != y.repeated() {
			if x.repeated() {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(g.exact[a].sends, g.exact[b].sends), y.crashedAt.Compare(x.crashedAt), cmp.Compare(a, b))
	})
	chosen = chosen[:min(len(chosen), limit)]
	out := make([]Suspicion, len(chosen))
	for i, e := range chosen {
		g.exact[e].sends++
		out[i] = g.suspects[g.exact[e].content].export(e, now)
	}
	return out
}
