// Package shunttest helps tests of several packages.
package shunttest

import (
	"flag"
	"os"
	"strings"
	"testing"
)

var runKnownRed = flag.Bool("red", false, "also run the tests that KNOWN-RED.txt lists")

// maxPackageDepth is how many folders a package may lie below the module's root.
const maxPackageDepth = 2

// SkipKnownRed skips a test that KNOWN-RED.txt, in the module's root, lists, unless -red
// is given.
func SkipKnownRed(t *testing.T) {
	t.Helper()
	if *runKnownRed {
		return
	}
	var list []byte
	for depth := 1; depth <= maxPackageDepth && list == nil; depth++ {
		// The error is ignored: the list is in one of the folders.
		list, _ = os.ReadFile(strings.Repeat("../", depth) + "KNOWN-RED.txt")
	}
	for _, line := range strings.Split(string(list), "\n") {
		if line == "test: "+t.Name() {
			t.Skip("listed in KNOWN-RED.txt")
		}
	}
}
