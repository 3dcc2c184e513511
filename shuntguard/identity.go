package shuntguard

import (
	"cmp"
	"math"
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
	fingerprint, content uint64
	seenAt               time.Time
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
	if len(g.exactByContent[id.Content]) >= maxExactPerSuspect {
		return false
	}
	if len(g.exact) >= maxExact {
		g.removeOldestExact()
	}
	f := &exactForm{fingerprint: id.Exact, content: id.Content, seenAt: now}
	g.exact[id.Exact] = f
	g.exactByContent[id.Content] = append(g.exactByContent[id.Content], f)
	return true
}

func (g *Guard) removeOldestExact() {
	var oldest *exactForm
	for _, f := range g.exact {
		if oldest == nil || f.seenAt.Before(oldest.seenAt) {
			oldest = f
		}
	}
	delete(g.exact, oldest.fingerprint)
	rest := slices.DeleteFunc(g.exactByContent[oldest.content], func(f *exactForm) bool { return f == oldest })
	g.exactByContent[oldest.content] = rest
	if len(rest) == 0 {
		delete(g.exactByContent, oldest.content)
	}
}

// contentOf returns the fingerprint of the content, given that or an exact one.
func (g *Guard) contentOf(fingerprint uint64) uint64 {
	if f, ok := g.exact[fingerprint]; ok {
		return f.content
	}
	return fingerprint
}

// OlderTable tells of the suspects of a Guard by all fingerprints under which VMs of older
// builds may know them: the exact ones, and that of the content, which is an exact one where
// such a VM has delegated the request, and reaches them where it is delegated to them.
type OlderTable struct{ guard *Guard }

// Older returns the suspects for VMs of older builds.
func (g *Guard) Older() OlderTable { return OlderTable{g} }

// Export returns up to limit suspects, repeated ones first, else in the order of Guard.Export.
func (t OlderTable) Export(limit int) []Suspicion { return t.export(limit, math.MaxInt) }

// News returns up to limit suspects that have changed lately.
func (t OlderTable) News(limit int) []Suspicion { return t.export(limit, newsSends) }

// Merge adds suspects as Guard.Merge does.
func (t OlderTable) Merge(in []Suspicion) { t.guard.Merge(in) }

// olderForm is a suspect under one of its fingerprints.
type olderForm struct {
	fingerprint uint64
	suspicion   *suspicion
	sends       *int
}

func (t OlderTable) export(limit, maxSends int) []Suspicion {
	now := time.Now()
	g := t.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	var forms []olderForm
	add := func(fingerprint uint64, s *suspicion, sends *int) {
		if !s.expired(now) && *sends < maxSends {
			forms = append(forms, olderForm{fingerprint, s, sends})
		}
	}
	for content, s := range g.suspects {
		add(content, s, &s.olderSends)
		for _, f := range g.exactByContent[content] {
			add(f.fingerprint, s, &f.sends)
		}
	}
	slices.SortFunc(forms, func(a, b olderForm) int {
		if a.suspicion.repeated() != b.suspicion.repeated() {
			if a.suspicion.repeated() {
				return -1
			}
			return 1
		}
		return cmp.Or(compareTurns(a.suspicion, *a.sends, b.suspicion, *b.sends), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	forms = forms[:min(len(forms), limit)]
	out := make([]Suspicion, len(forms))
	for i, f := range forms {
		*f.sends++
		out[i] = f.suspicion.export(f.fingerprint, now)
	}
	return out
}
