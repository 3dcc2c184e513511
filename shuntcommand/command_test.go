package shuntcommand

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestCommands runs the cases in testdata/commands. "file path=P" writes a file
// to a temporary folder, which command lines and output name as "{DIR}". "run"
// runs a command line and prints its output and exit code.
func TestCommands(t *testing.T) {
	dir := t.TempDir()
	datadriven.RunTest(t, "testdata/commands", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "file" {
			var path string
			d.ScanArgs(t, "path", &path)
			path = filepath.Join(dir, path)
			if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, []byte(d.Input), 0o600); err != nil {
				t.Fatal(err)
			}
			return "ok\n"
		}
		var out, errOut bytes.Buffer
		args := strings.Fields(strings.ReplaceAll(d.Input, "{DIR}", dir))
		code := Main(args, &out, &errOut)
		text := out.String() + errOut.String()
		return fmt.Sprintf("%sexit %d\n", strings.ReplaceAll(text, dir, "{DIR}"), code)
	})
}
