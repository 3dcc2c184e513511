// Package shuntstyle tests the rules of the code style that the linter can't
// check, and that the generated pages are up to date.
package shuntstyle

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"mulberryshunt.example/mulberryshunt/shuntcommand"
)

const root = ".."

// walkGoFiles parses each Go file of the module and calls f with it.
func walkGoFiles(t *testing.T, f func(path string, file *ast.File, fset *token.FileSet)) {
	t.Helper()
	n := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && strings.HasPrefix(d.Name(), ".") && d.Name() != root {
			return filepath.SkipDir
		}
		if d.IsDir() || !strings.HasSuffix(path, ".go") {
			return nil
		}
		fset := token.NewFileSet()
		file, err := parser.ParseFile(fset, path, nil, 0)
		if err != nil {
			return err
		}
		n++
		f(path, file, fset)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if n < 20 {
		t.Fatalf("only %d Go files found below %s", n, root)
	}
}

// TestNoBareGo checks that goroutines are started only through a group, which
// can be waited for.
func TestNoBareGo(t *testing.T) {
	walkGoFiles(t, func(_ string, file *ast.File, fset *token.FileSet) {
		ast.Inspect(file, func(n ast.Node) bool {
			if g, ok := n.(*ast.GoStmt); ok {
				t.Errorf("%v: go statement; start goroutines through a group", fset.Position(g.Pos()))
			}
			return true
		})
	})
}

// TestNoStructTags checks that no struct field has a tag. Encoded types use their
// Go field names, and conversions to them are written out.
func TestNoStructTags(t *testing.T) {
	walkGoFiles(t, func(_ string, file *ast.File, fset *token.FileSet) {
		ast.Inspect(file, func(n ast.Node) bool {
			if f, ok := n.(*ast.Field); ok && f.Tag != nil {
				t.Errorf("%v: struct tag; use the Go field names and convert between types in code", fset.Position(f.Pos()))
			}
			return true
		})
	})
}

// TestLayout checks that package names have the prefix shunt and that no package
// is internal.
func TestLayout(t *testing.T) {
	walkGoFiles(t, func(path string, file *ast.File, _ *token.FileSet) {
		if strings.Contains(path, "internal/") {
			t.Errorf("%s: internal packages are not used in this module", path)
		}
		name := strings.TrimSuffix(file.Name.Name, "_test")
		if name != "main" && !strings.HasPrefix(name, "shunt") {
			t.Errorf("%s: name of package %s does not have the prefix shunt", path, name)
		}
	})
}

// TestGeneratedPages checks that the generated pages in docs match the texts in
// the code.
func TestGeneratedPages(t *testing.T) {
	for name, want := range shuntcommand.GeneratedPages() {
		got, err := os.ReadFile(filepath.Join(root, "docs", name))
		if err != nil {
			t.Fatal(err)
		}
		if string(got) != want {
			t.Errorf("docs/%s is out of date; run: go run ./cmd/mulberryshunt docs -write docs", name)
		}
	}
}
