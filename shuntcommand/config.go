package shuntcommand

import (
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
)

// documentSuffix is the file name suffix of documents in a folder. The key of a
// document is its path in the folder without the suffix. For example, the file
// Service/showroom-00.toml has the key Service/showroom-00.
const documentSuffix = ".toml"

func checkCommand() command {
	return command{
		name:      "check",
		usageArgs: "FOLDER | SETTINGS-FILE",
		summary:   "check a folder of documents before they are published, or a daemon's settings file",
		setup: func(fs *flag.FlagSet) func(*env) error {
			asJSON := fs.Bool("json", false, "print JSON")
			return func(e *env) error { return runCheck(e, *asJSON) }
		},
	}
}

// finding is one error in a document or settings file.
type finding struct {
	Key     string
	Problem string
}

func runCheck(e *env, asJSON bool) error {
	if len(e.args) != 1 {
		return usageError("give one folder or one settings file")
	}
	info, err := os.Stat(e.args[0])
	if err != nil {
		return usageError("%v", err)
	}
	var findings []finding
	n := 1
	if info.IsDir() {
		docs, err := readFolder(e.args[0])
		if err != nil {
			return usageError("%v", err)
		}
		n = len(docs)
		findings = checkDocuments(shuntconfig.NewTree().With(docs...))
	} else if _, err := readSettings(e.args[0]); err != nil {
		findings = []finding{{e.args[0], err.Error()}}
	}
	if asJSON {
		if err := printJSON(e.out, struct{ Findings []finding }{findings}); err != nil {
			return err
		}
	} else {
		for _, f := range findings {
			fmt.Fprintln(e.out, f.Problem)
		}
	}
	if len(findings) > 0 {
		return failedError("%d of %d documents are wrong", len(findings), n)
	}
	if !asJSON {
		fmt.Fprintf(e.out, "%d documents, all right\n", n)
	}
	return nil
}

// checkDocuments returns the documents that were refused and the workspaces that
// can't be resolved.
func checkDocuments(t *shuntconfig.Tree) []finding {
	var out []finding
	for _, k := range sortedKeys(t.Refusals()) {
		out = append(out, finding{string(k), t.Refusals()[k].Err.Error()})
	}
	for _, w := range t.Workspaces() {
		if err := t.Problem(w); err != nil {
			out = append(out, finding{"Workspace/" + w, err.Error()})
		}
	}
	return out
}

// readFolder reads the documents in a folder and its subfolders, all as version 1.
func readFolder(folder string) ([]shuntconfig.Document, error) {
	var out []shuntconfig.Document
	err := filepath.WalkDir(folder, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, documentSuffix) {
			return err
		}
		body, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(folder, path)
		if err != nil {
			return err
		}
		k := shuntconfig.Key(strings.TrimSuffix(filepath.ToSlash(rel), documentSuffix))
		out = append(out, shuntconfig.Document{Key: k, Version: 1, Body: body})
		return nil
	})
	if err == nil && len(out) == 0 {
		err = fmt.Errorf("%s has no %s files", folder, documentSuffix)
	}
	return out, err
}

func renderCommand() command {
	return command{
		name:      "render",
		usageArgs: "FOLDER WORKSPACE",
		summary:   "show a workspace as it will be in force: its template with the parameters filled in",
		setup: func(fs *flag.FlagSet) func(*env) error {
			asJSON := fs.Bool("json", false, "print JSON")
			return func(e *env) error { return runRender(e, *asJSON) }
		},
	}
}

func runRender(e *env, asJSON bool) error {
	if len(e.args) != 2 {
		return usageError("give a folder and the name of a workspace")
	}
	docs, err := readFolder(e.args[0])
	if err != nil {
		return usageError("%v", err)
	}
	t := shuntconfig.NewTree().With(docs...)
	w, err := t.Render(e.args[1])
	if err != nil {
		return failedError("%v", err)
	}
	if asJSON {
		return printJSON(e.out, encodeWorkspace(w))
	}
	_, err = fmt.Fprint(e.out, shuntconfig.RenderTOML(w))
	return err
}

// wireWorkspace is the JSON form of a workspace.
type wireWorkspace struct {
	Name, Template, Class, Canary               string
	Services                                    []string
	DeadlineMilliseconds                        int64
	WaitForAll                                  bool
	MinimumCoverage                             float64
	HedgeQuantile, HedgeFraction, RetryFraction float64
	MaximumConcurrent                           int
}

func encodeWorkspace(w shuntconfig.Workspace) wireWorkspace {
	return wireWorkspace{
		Name:                 w.Name,
		Template:             w.Template,
		Class:                w.Class.String(),
		Canary:               w.Canary.String(),
		Services:             w.Services,
		DeadlineMilliseconds: w.Deadline.Milliseconds(),
		WaitForAll:           w.WaitForAll,
		MinimumCoverage:      w.MinimumCoverage,
		HedgeQuantile:        w.HedgeQuantile,
		HedgeFraction:        w.HedgeFraction,
		RetryFraction:        w.RetryFraction,
		MaximumConcurrent:    w.MaximumConcurrent,
	}
}
