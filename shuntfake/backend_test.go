package shuntfake

import (
	"testing"
	"testing/synctest"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntowner"
)

// TestColdAdmission checks what a cold server that is at its limit does with one more
// request. A request whose deadline has passed is rejected without being run, so it is
// no load: a VM that was suspended just before a write may send one at any time.
func TestColdAdmission(t *testing.T) {
	cases := map[string]struct {
		timeLeft time.Duration
		want     shuntowner.Status
		overruns int
	}{
		"in time": {time.Second, shuntowner.StatusFault, 1},
		"expired": {-time.Second, shuntowner.StatusExpired, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				snapshot := shuntconfig.SnapshotID{Version: 1}
				log := NewLog()
				b := NewBackend(BackendConfig{Server: shuntconfig.ServerSpec{Server: shuntconfig.Server{Name: "r0"}, Slots: 2, Connections: 4, InitialSlots: 1}, Log: log})
				b.SetSnapshots(snapshot)
				conn := newBackendConn(b, nil)
				if err := b.accept(conn); err != nil {
					t.Fatal(err)
				}
				if status, _ := b.admit(conn, shuntowner.SubRequest{Snapshot: snapshot, Deadline: time.Now().Add(time.Minute)}); status != shuntowner.StatusDone {
					t.Fatalf("first request: %v, want %v", status, shuntowner.StatusDone)
				}
				status, _ := b.admit(conn, shuntowner.SubRequest{Snapshot: snapshot, Deadline: time.Now().Add(c.timeLeft)})
				if got := log.Violations().ColdOverruns; status != c.want || got != c.overruns {
					t.Errorf("second request: %v with %d overruns, want %v with %d", status, got, c.want, c.overruns)
				}
			})
		})
	}
}
