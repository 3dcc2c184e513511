package shuntguard

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
	"mulberryshunt.example/mulberryshunt/shunttest"
)

const testFingerprint = 7

// TestDecisions checks what Admit decides about a request after crashes,
// successes, quarantines and suspicions received from other VMs.
func TestDecisions(t *testing.T) {
	cases := map[string]struct {
		before func(g *Guard)
		canary shuntconfig.Canary
		want   Decision
	}{
		"unknown":                     {func(*Guard) {}, shuntconfig.CanaryAfterCrash, Decision{}},
		"unknown, canary always":      {func(*Guard) {}, shuntconfig.CanaryAlways, Decision{Canary: true}},
		"unknown after another's":     {func(g *Guard) { g.RecordCrash(8, "s", false) }, shuntconfig.CanaryAfterCrash, Decision{Canary: true}},
		"unknown, canary never":       {func(g *Guard) { g.RecordCrash(8, "s", false) }, shuntconfig.CanaryNever, Decision{}},
		"known as harmless":           {func(g *Guard) { g.RecordCrash(8, "s", false); g.RecordSuccess(testFingerprint) }, shuntconfig.CanaryAlways, Decision{}},
		"one crash":                   {func(g *Guard) { g.RecordCrash(testFingerprint, "s", false) }, shuntconfig.CanaryNever, Decision{Suspect: true, Canary: true}},
		"many servers at one time":    {func(g *Guard) { g.RecordCrash(testFingerprint, "s", false); g.RecordCrash(testFingerprint, "t", false) }, shuntconfig.CanaryNever, Decision{Suspect: true, Canary: true}},
		"a crash as a suspect":        {func(g *Guard) { g.RecordCrash(testFingerprint, "s", false); g.RecordCrash(testFingerprint, "t", true) }, shuntconfig.CanaryNever, Decision{Refused: shuntoutcome.Quarantined}},
		"cleared":                     {func(g *Guard) { g.RecordCrash(testFingerprint, "s", false); g.RecordSuccess(testFingerprint) }, shuntconfig.CanaryNever, Decision{}},
		"a quarantine is not cleared": {func(g *Guard) { g.RecordCrash(testFingerprint, "s", true); g.RecordSuccess(testFingerprint) }, shuntconfig.CanaryNever, Decision{Refused: shuntoutcome.Quarantined}},
		"after the quarantine":        {func(g *Guard) { g.RecordCrash(testFingerprint, "s", true); time.Sleep(minQuarantine) }, shuntconfig.CanaryNever, Decision{Suspect: true, Canary: true}},
		"a second quarantine is longer": {func(g *Guard) {
			g.RecordCrash(testFingerprint, "s", true)
			time.Sleep(minQuarantine)
			g.RecordCrash(testFingerprint, "s", true)
			time.Sleep(minQuarantine)
		}, shuntconfig.CanaryNever, Decision{Refused: shuntoutcome.Quarantined}},
		"long after": {func(g *Guard) { g.RecordCrash(testFingerprint, "s", true); time.Sleep(24 * time.Hour) }, shuntconfig.CanaryNever, Decision{}},
		"heard of":   {func(g *Guard) { g.Merge([]Suspicion{{Fingerprint: testFingerprint, Servers: []string{"s"}}}) }, shuntconfig.CanaryNever, Decision{Refused: shuntoutcome.CrashSuspect}},
		"heard of before": {func(g *Guard) {
			g.Merge([]Suspicion{{Fingerprint: testFingerprint, Servers: []string{"s"}}})
			time.Sleep(firstRunWindow)
		}, shuntconfig.CanaryNever, Decision{Suspect: true, Canary: true}},
		"heard of its quarantine": {func(g *Guard) {
			g.Merge([]Suspicion{{Fingerprint: testFingerprint, Servers: []string{"s", "t"}, Strikes: 1, Age: time.Second}})
		}, shuntconfig.CanaryNever, Decision{Refused: shuntoutcome.Quarantined}},
		"heard nonsense": {func(g *Guard) {
			g.Merge([]Suspicion{{Fingerprint: testFingerprint, Servers: []string{"s"}, Strikes: -4, Age: -time.Hour}})
		}, shuntconfig.CanaryNever, Decision{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := New(Config{})
				c.before(g)
				if got := g.Admit(testFingerprint, c.canary); got != c.want {
					t.Errorf("got %+v; want %+v", got, c.want)
				}
			})
		})
	}
}

// TestSuspectRunsAreSerialized checks that only one run of a suspect is in
// progress at a time.
func TestSuspectRunsAreSerialized(t *testing.T) {
	g := New(Config{})
	g.RecordCrash(testFingerprint, "s", false)
	if v := g.Admit(testFingerprint, shuntconfig.CanaryNever); !v.Suspect {
		t.Fatalf("Admit for the first run: got %+v; want a run as a suspect", v)
	}
	second := g.Admit(testFingerprint, shuntconfig.CanaryNever)
	if second.Wait == nil {
		t.Fatalf("Admit during the first run: got %+v; want a wait", second)
	}
	g.Release(testFingerprint)
	<-second.Wait
	if v := g.Admit(testFingerprint, shuntconfig.CanaryNever); !v.Suspect {
		t.Errorf("Admit after the first run: got %+v; want a run as a suspect", v)
	}
}

// TestTableIsBounded checks that the number of suspects stays within maxSuspects.
func TestTableIsBounded(t *testing.T) {
	g := New(Config{})
	for f := range uint64(2 * maxSuspects) {
		g.RecordCrash(f, "s", false)
	}
	if n := len(g.Export(10 * maxSuspects)); n > maxSuspects {
		t.Errorf("%d suspects; the limit is %d", n, maxSuspects)
	}
}

// TestInnocentRequests checks that of the requests that were in flight on servers that crashed
// one after the other, the one that was on all of them is a suspect, and the others are not.
func TestInnocentRequests(t *testing.T) {
	shunttest.SkipKnownRed(t)
	const servers, others = 3, 8
	synctest.Test(t, func(t *testing.T) {
		g := New(Config{})
		for n := range servers {
			server := fmt.Sprint("s", n)
			g.RecordCrash(testFingerprint, server, false)
			for i := range others {
				g.RecordCrash(testFingerprint+uint64(1+n*others+i), server, false)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if !g.IsSuspect(testFingerprint) {
			t.Error("the request that was on all servers is no suspect")
		}
		suspects := 0
		for i := range servers * others {
			if g.IsSuspect(testFingerprint + uint64(1+i)) {
				suspects++
			}
		}
		if suspects > 0 {
			t.Errorf("%d of %d requests that were on one server are suspects", suspects, servers*others)
		}
	})
}
