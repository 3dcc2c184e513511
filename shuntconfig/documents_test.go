package shuntconfig

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestDocuments runs the cases in testdata: documents, and what the check says
// of them.
//
//	put key=Service/x       adds a document as its next version and prints
//	                        "accepted", or why it was refused
//	plan workspace=x        prints the workspace in force, or its problem
//	settings                reads a daemon's settings
func TestDocuments(t *testing.T) {
	datadriven.Walk(t, "testdata/documents", func(t *testing.T, path string) {
		tree := NewTree()
		versions := map[Key]int64{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "put":
				var key string
				d.ScanArgs(t, "key", &key)
				k := Key(key)
				versions[k]++
				body := strings.ReplaceAll(d.Input, "<megabyte>", strings.Repeat("#", MaxDocumentBytes))
				tree = tree.With(Document{Key: k, Version: versions[k], Body: []byte(body)})
				if r, ok := tree.Refusals()[k]; ok {
					return r.Err.Error() + "\n"
				}
				return "accepted\n"
			case "plan":
				var name string
				d.ScanArgs(t, "workspace", &name)
				return planText(tree, name)
			case "settings":
				s, err := DecodeSettings("vm.toml", []byte(d.Input))
				if err != nil {
					return err.Error() + "\n"
				}
				return fmt.Sprintf("%s in %s\n", s.Name, s.Zone)
			}
			return "unknown command"
		})
	})
}

func planText(t *Tree, name string) string {
	var b strings.Builder
	if err := t.Problem(name); err != nil {
		fmt.Fprintln(&b, err)
	}
	p := t.Plan(name)
	if p == nil {
		return b.String() + "no plan\n"
	}
	b.WriteString(RenderTOML(p.Workspace))
	for _, s := range p.Snapshots {
		fmt.Fprintf(&b, "snapshot %s:", s.ID)
		for _, h := range s.Shards {
			fmt.Fprintf(&b, " %s(%d)", h.Name, len(h.Replicas))
		}
		b.WriteString("\n")
	}
	return b.String()
}

// TestVersionsOnlyGrow: whatever order documents come in, the newest good one
// of each key is in force, and equal sets give equal digests.
func TestVersionsOnlyGrow(t *testing.T) {
	doc := func(v int64, class string) Document {
		return Document{Key: "Template/t", Version: v, Body: []byte("[Settings]\nClass = \"" + class + "\"\n")}
	}
	a := NewTree().With(doc(1, "Batch")).With(doc(3, "Browse")).With(doc(2, "Interactive"))
	b := NewTree().With(doc(3, "Browse"))
	if a.Digest() != b.Digest() {
		t.Error("the digests of equal configurations differ")
	}
	if d, _ := a.Document("Template/t"); d.Version != 3 {
		t.Errorf("version %d in force; want 3", d.Version)
	}
}

func FuzzDocuments(f *testing.F) {
	f.Add("Fleet", []byte("[[Zones]]\nName = \"a\"\nRegion = \"r\"\n"))
	f.Add("Service/x", []byte("Slots = 2\nConnections = 3\n[[Servers]]\nName = \"a\"\n"))
	f.Add("Template/x", []byte("[Parameters.A]\nType = \"Integer\"\nDefault = 3\n[Settings]\nClass = \"${A}\"\n"))
	f.Add("Workspace/x", []byte("Template = \"x\"\n"))
	f.Add("Nothing", []byte("\x00"))
	f.Fuzz(func(t *testing.T, key string, body []byte) {
		tree := NewTree().With(Document{Key: Key(key), Version: 1, Body: body})
		_, refused := tree.Refusals()[Key(key)]
		_, accepted := tree.Document(Key(key))
		if refused == accepted {
			t.Errorf("refused %t, accepted %t", refused, accepted)
		}
	})
}
