package shuntguard

import (
	"testing"
	"testing/synctest"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
)

const content = 7

// TestVerdicts is what a content may do after what befell it.
func TestVerdicts(t *testing.T) {
	cases := map[string]struct {
		before func(g *Guard)
		canary shuntconfig.Canary
		want   Decision
	}{
		"unknown":                     {func(*Guard) {}, shuntconfig.CanaryAfterCrash, Decision{}},
		"unknown, canary always":      {func(*Guard) {}, shuntconfig.CanaryAlways, Decision{Canary: true}},
		"unknown after another's":     {func(g *Guard) { g.RecordCrash(8, "s", false) }, shuntconfig.CanaryAfterCrash, Decision{Canary: true}},
		"unknown, canary never":       {func(g *Guard) { g.RecordCrash(8, "s", false) }, shuntconfig.CanaryNever, Decision{}},
		"known as harmless":           {func(g *Guard) { g.RecordCrash(8, "s", false); g.RecordSuccess(content) }, shuntconfig.CanaryAlways, Decision{}},
		"one crash":                   {func(g *Guard) { g.RecordCrash(content, "s", false) }, shuntconfig.CanaryNever, Decision{Suspect: true, Canary: true}},
		"many servers at one time":    {func(g *Guard) { g.RecordCrash(content, "s", false); g.RecordCrash(content, "t", false) }, shuntconfig.CanaryNever, Decision{Suspect: true, Canary: true}},
		"a crash as a suspect":        {func(g *Guard) { g.RecordCrash(content, "s", false); g.RecordCrash(content, "t", true) }, shuntconfig.CanaryNever, Decision{Refused: shuntoutcome.Quarantined}},
		"cleared":                     {func(g *Guard) { g.RecordCrash(content, "s", false); g.RecordSuccess(content) }, shuntconfig.CanaryNever, Decision{}},
		"a quarantine is not cleared": {func(g *Guard) { g.RecordCrash(content, "s", true); g.RecordSuccess(content) }, shuntconfig.CanaryNever, Decision{Refused: shuntoutcome.Quarantined}},
		"after the quarantine":        {func(g *Guard) { g.RecordCrash(content, "s", true); time.Sleep(quarantineFirst) }, shuntconfig.CanaryNever, Decision{Suspect: true, Canary: true}},
		"a second quarantine is longer": {func(g *Guard) {
			g.RecordCrash(content, "s", true)
			time.Sleep(quarantineFirst)
			g.RecordCrash(content, "s", true)
			time.Sleep(quarantineFirst)
		}, shuntconfig.CanaryNever, Decision{Refused: shuntoutcome.Quarantined}},
		"long after": {func(g *Guard) { g.RecordCrash(content, "s", true); time.Sleep(24 * time.Hour) }, shuntconfig.CanaryNever, Decision{}},
		"heard of":   {func(g *Guard) { g.Merge([]Suspicion{{content, []string{"s"}, 0, 0}}) }, shuntconfig.CanaryNever, Decision{Refused: shuntoutcome.CrashSuspect}},
		"heard of before": {func(g *Guard) {
			g.Merge([]Suspicion{{content, []string{"s"}, 0, 0}})
			time.Sleep(firstRunTime)
		}, shuntconfig.CanaryNever, Decision{Suspect: true, Canary: true}},
		"heard of its quarantine": {func(g *Guard) { g.Merge([]Suspicion{{content, []string{"s", "t"}, 1, time.Second}}) }, shuntconfig.CanaryNever, Decision{Refused: shuntoutcome.Quarantined}},
		"heard nonsense":          {func(g *Guard) { g.Merge([]Suspicion{{content, []string{"s"}, -4, -time.Hour}}) }, shuntconfig.CanaryNever, Decision{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := New(Config{})
				c.before(g)
				if got := g.Admit(content, c.canary); got != c.want {
					t.Errorf("got %+v; want %+v", got, c.want)
				}
			})
		})
	}
}

// TestSuspectsTakeTurns: of one suspect one run is on at a time.
func TestSuspectsTakeTurns(t *testing.T) {
	g := New(Config{})
	g.RecordCrash(content, "s", false)
	if v := g.Admit(content, shuntconfig.CanaryNever); !v.Suspect {
		t.Fatalf("the first run got %+v", v)
	}
	second := g.Admit(content, shuntconfig.CanaryNever)
	if second.Wait == nil {
		t.Fatalf("the second run got %+v", second)
	}
	g.Release(content)
	<-second.Wait
	if v := g.Admit(content, shuntconfig.CanaryNever); !v.Suspect {
		t.Errorf("after the first the second run got %+v", v)
	}
}

// TestTableIsBounded: the table never grows past its bound.
func TestTableIsBounded(t *testing.T) {
	g := New(Config{})
	for f := range uint64(2 * maxSuspects) {
		g.RecordCrash(f, "s", false)
	}
	if n := len(g.Export(10 * maxSuspects)); n > maxSuspects {
		t.Errorf("%d entries; the bound is %d", n, maxSuspects)
	}
}
