package turmericgap

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// pureDirs lists the packages whose decisions use no I/O or clock, so that a recorded load can be replayed.
var pureDirs = []string{"admission", "aging", "capacity", "crash", "evacuation", "heartbeat", "preemption", "quarantine", "speed", "straggler", "tally"}

// Imports and functions of package time that these packages must not use.
var (
	forbiddenImports = []string{"net", "os", "context", "sync", "math/rand", "math/rand/v2", "go.uber.org/zap", "turmericgap/store", "turmericgap/rpc"}
	forbiddenClock   = []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"}
)

// The packages in pureDirs must not read the clock, start goroutines or do I/O. A recorded load could not be
// replayed on them otherwise, and a change to their decisions would need days of simulation instead of a test.
func TestDecisionsDoNoIO(t *testing.T) {
	for _, dir := range pureDirs {
		for _, use := range forbiddenUses(t, dir) {
			t.Error(use)
		}
	}
}

// The check must find an import, a goroutine and a clock reading in a sample file.
func TestDecisionsCheckFinds(t *testing.T) {
	dir := t.TempDir()
	source := "package p\nimport (\n\"net/http\"\n\"time\"\n)\nvar _ http.Header\nfunc f() { go f(); _ = time.Now() }\n"
	if err := os.WriteFile(filepath.Join(dir, "p.go"), []byte(source), 0o644); err != nil {
		t.Fatal(err)
	}
	if found := forbiddenUses(t, dir); len(found) != 3 {
		t.Fatalf("found %q", found)
	}
}

// forbiddenUses lists the forbidden uses in a package, not counting its tests.
func forbiddenUses(t *testing.T, dir string) []string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("%s: no sources (%v)", dir, err)
	}
	var found []string
	files := token.NewFileSet()
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(files, path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if use := forbiddenUse(n); use != "" {
				found = append(found, files.Position(n.Pos()).String()+": "+use)
			}
			return true
		})
	}
	return found
}

func forbiddenUse(n ast.Node) string {
	switch n := n.(type) {
	case *ast.GoStmt:
		return "a goroutine"
	case *ast.ImportSpec:
		path, _ := strconv.Unquote(n.Path.Value)
		for _, forbidden := range forbiddenImports {
			if path == forbidden || strings.HasPrefix(path, forbidden+"/") {
				return "import of " + path
			}
		}
	case *ast.SelectorExpr:
		pkg, ok := n.X.(*ast.Ident)
		if !ok || pkg.Name != "time" {
			return ""
		}
		for _, forbidden := range forbiddenClock {
			if n.Sel.Name == forbidden {
				return "time." + forbidden
			}
		}
	}
	return ""
}
