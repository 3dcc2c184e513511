package shuntbalance

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestLinks checks when failed connections cast doubt on this VM's own links, and when
// probes show that they are lost or back.
func TestLinks(t *testing.T) {
	dial := func(l *Links, ok bool, servers ...string) {
		for _, s := range servers {
			l.Dialed(s, time.Now(), ok)
			time.Sleep(time.Millisecond)
		}
	}
	cases := map[string]struct {
		before         func(l *Links)
		doubtful, lost bool
	}{
		"nothing":              {func(*Links) {}, false, false},
		"one server fails":     {func(l *Links) { dial(l, false, "a", "a", "a") }, false, false},
		"two servers fail":     {func(l *Links) { dial(l, false, "a", "b") }, true, false},
		"another accepts":      {func(l *Links) { dial(l, false, "a", "b"); dial(l, true, "c") }, false, false},
		"they fail after that": {func(l *Links) { dial(l, true, "c"); dial(l, false, "a", "b") }, true, false},
		"long ago":             {func(l *Links) { dial(l, false, "a", "b"); time.Sleep(2 * doubtWindow) }, false, false},
		"no probe succeeds":    {func(l *Links) { l.Conclude(ProbeResult{Probed: 6, Accepted: 0}) }, false, true},
		"one probe succeeds":   {func(l *Links) { l.Conclude(ProbeResult{Probed: 6, Accepted: 1}) }, false, false},
		"back: a few probes": {func(l *Links) {
			l.Conclude(ProbeResult{Probed: 6, Accepted: 0})
			l.Conclude(ProbeResult{Probed: 6, Accepted: 2})
		}, false, true},
		"back: half of the probes": {func(l *Links) {
			l.Conclude(ProbeResult{Probed: 6, Accepted: 0})
			l.Conclude(ProbeResult{Probed: 6, Accepted: 3})
		}, false, false},
		"nothing to probe": {func(l *Links) { l.Conclude(ProbeResult{Probed: 0, Accepted: 0}) }, false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := NewLinks()
				c.before(l)
				if got := l.Doubtful(time.Now()); got != c.doubtful {
					t.Errorf("doubtful: %v; want %v", got, c.doubtful)
				}
				if got, _ := l.Lost(); got != c.lost {
					t.Errorf("lost: %v; want %v", got, c.lost)
				}
			})
		})
	}
}

// TestReachedOther checks that only a connection to another server, begun late enough,
// proves that this VM reaches servers.
func TestReachedOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLinks()
		l.Dialed("b", time.Now(), true)
		time.Sleep(time.Second)
		since := time.Now()
		for _, server := range []string{"a", "a"} {
			l.Dialed(server, time.Now(), true)
		}
		if ok, _ := l.ReachedOther("a", since); ok {
			t.Error("the server itself counts as another one")
		}
		l.Dialed("b", since.Add(-time.Millisecond), true)
		ok, changed := l.ReachedOther("a", since)
		if ok {
			t.Error("a connection that was begun before counts")
		}
		l.Dialed("b", time.Now(), true)
		<-changed
		if ok, _ := l.ReachedOther("a", since); !ok {
			t.Error("a connection to another server does not count")
		}
	})
}
