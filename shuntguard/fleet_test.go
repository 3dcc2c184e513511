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

const (
	// exchangeInterval is the time between two exchanges of suspicions, in which each VM
	// tells at most exportedSuspicions.
	exchangeInterval   = 400 * time.Millisecond
	exportedSuspicions = 6
)

// guardFleet holds the guards of several VMs.
type guardFleet []*Guard

// suspectHarmless makes each VM take n harmless requests for suspects.
func (f guardFleet) suspectHarmless(round, n int) {
	for i, g := range f {
		for k := range n {
			fingerprint := uint64(1000 + (round*len(f)+i)*n + k)
			g.RecordCrash(fingerprint, fmt.Sprintf("cut-%d", k), g.IsSuspect(fingerprint))
		}
	}
}

// exchange makes all VMs tell all others their suspicions.
func (f guardFleet) exchange() {
	for _, from := range f {
		for _, to := range f {
			if from != to {
				to.Merge(from.Export(exportedSuspicions))
			}
		}
	}
}

// TestCrashesAmongHarmlessSuspects checks how many servers a request crashes that is
// sent to all VMs by turns, while each VM also takes harmless requests for suspects.
func TestCrashesAmongHarmlessSuspects(t *testing.T) {
	const vms, sends, most = 6, 60, 3
	for name, harmless := range map[string]int{"none": 0, "few": 1, "many": 8} {
		t.Run(name, func(t *testing.T) {
			shunttest.SkipKnownRed(t)
			synctest.Test(t, func(t *testing.T) {
				fleet := make(guardFleet, vms)
				for i := range fleet {
					fleet[i] = New(Config{})
				}
				crashed := 0
				for n := range sends {
					fleet.suspectHarmless(n, harmless)
					g := fleet[n%vms]
					if v := g.Admit(testFingerprint, shuntconfig.CanaryNever); v.Refused == shuntoutcome.None && v.Wait == nil {
						crashed++
						g.RecordCrash(testFingerprint, fmt.Sprintf("s-%d", crashed), v.Suspect)
						g.Release(testFingerprint)
					}
					fleet.exchange()
					time.Sleep(exchangeInterval)
				}
				if crashed > most {
					t.Errorf("%d servers crashed; at most %d may", crashed, most)
				}
			})
		})
	}
}
