package shuntlab

import (
	"flag"
	"os"
	"strings"
	"testing"
)

var red = flag.Bool("red", false, "run the tests that KNOWN-RED.txt lists too")

// knownRed passes over a test that KNOWN-RED.txt lists, unless -red is given.
func knownRed(t *testing.T) {
	t.Helper()
	b, err := os.ReadFile("../KNOWN-RED.txt")
	if err != nil || *red {
		return
	}
	for _, l := range strings.Split(string(b), "\n") {
		if l == "test: "+t.Name() {
			t.Skip("listed in KNOWN-RED.txt")
		}
	}
}
