// Package shunthouse checks the house style where a linter can't.
package shunthouse

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

// goFiles calls f with each Go file of the module.
func goFiles(t *testing.T, f func(path string, file *ast.File, fset *token.FileSet)) {
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

func TestNoBareGo(t *testing.T) {
	goFiles(t, func(_ string, file *ast.File, fset *token.FileSet) {
		ast.Inspect(file, func(n ast.Node) bool {
			if g, ok := n.(*ast.GoStmt); ok {
				t.Errorf("%v: a bare go statement; start goroutines through a group", fset.Position(g.Pos()))
			}
			return true
		})
	})
}

func TestNoStructTags(t *testing.T) {
	goFiles(t, func(_ string, file *ast.File, fset *token.FileSet) {
		ast.Inspect(file, func(n ast.Node) bool {
			if f, ok := n.(*ast.Field); ok && f.Tag != nil {
				t.Errorf("%v: a struct tag; codecs map types by hand", fset.Position(f.Pos()))
			}
			return true
		})
	})
}

func TestLayout(t *testing.T) {
	goFiles(t, func(path string, file *ast.File, _ *token.FileSet) {
		if strings.Contains(path, "internal/") {
			t.Errorf("%s: there is no internal/", path)
		}
		name := strings.TrimSuffix(file.Name.Name, "_test")
		if name != "main" && !strings.HasPrefix(name, "shunt") {
			t.Errorf("%s: package %s lacks the prefix shunt", path, name)
		}
	})
}

func TestGeneratedPages(t *testing.T) {
	for name, want := range shuntcommand.GeneratedPages() {
		got, err := os.ReadFile(filepath.Join(root, "docs", name))
		if err != nil {
			t.Fatal(err)
		}
		if string(got) != want {
			t.Errorf("docs/%s is not what the code says; run: go run ./cmd/mulberryshunt docs -write docs", name)
		}
	}
}
