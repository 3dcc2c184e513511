package shuntconfig

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestDocuments runs the cases in testdata/documents, which give documents and
// settings files and the expected results of validation. The commands are:
//
//	put key=Service/x       adds the input as the next version of the document
//	                        and prints "accepted", or why it was refused
//	plan workspace=x        prints why no plan can be built, if so, and the
//	                        plan in force
//	settings                decodes the input as a daemon's settings file
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
				return formatPlan(tree, name)
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

func formatPlan(t *Tree, name string) string {
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
		for _, shard := range s.Shards {
			fmt.Fprintf(&b, " %s(%d)", shard.Name, len(shard.Replicas))
		}
		b.WriteString("\n")
	}
	return b.String()
}

// TestVersionsOnlyGrow checks that an older version that arrives late doesn't
// replace a newer one, and that trees with the same versions in force have the
// same digest.
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

// FuzzDocuments checks that every document is either accepted or refused.
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
