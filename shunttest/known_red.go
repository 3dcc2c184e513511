// Package shunttest helps tests of several packages.
package shunttest

import (
	"flag"
	"os"
	"strings"
	"testing"
)

var runKnownRed = flag.Bool("red", false, "also run the tests that KNOWN-RED.txt lists")

// SkipKnownRed skips a test that KNOWN-RED.txt lists, unless -red is given. The
// test's package must be a folder below the module's root.
func SkipKnownRed(t *testing.T) {
	t.Helper()
	list, err := os.ReadFile("../KNOWN-RED.txt")
	if err != nil || *runKnownRed {
		return
	}
	for _, line := range strings.Split(string(list), "\n") {
		if line == "test: "+t.Name() {
			t.Skip("listed in KNOWN-RED.txt")
		}
	}
}
