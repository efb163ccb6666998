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

// decisions lists the packages that decide without input or output, so that a load can be replayed on them.
var decisions = []string{"admission", "aging", "heartbeat"}

// barred are imports, and functions of the clock, that a decision must not use.
var (
	barredImports = []string{"net", "os", "context", "sync", "math/rand", "math/rand/v2", "go.uber.org/zap", "turmericgap/store", "turmericgap/rpc"}
	barredClock   = []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"}
)

// A decision that reads the clock, starts a goroutine or asks somebody cannot be replayed, and an idea about it
// costs days of plays instead of a test.
func TestDecisionsDoNoIO(t *testing.T) {
	for _, dir := range decisions {
		for _, fault := range ioOf(t, dir) {
			t.Error(fault)
		}
	}
}

// The check finds what it looks for.
func TestDecisionsCheckFinds(t *testing.T) {
	dir := t.TempDir()
	source := "package p\nimport (\n\"net/http\"\n\"time\"\n)\nvar _ http.Header\nfunc f() { go f(); _ = time.Now() }\n"
	if err := os.WriteFile(filepath.Join(dir, "p.go"), []byte(source), 0o644); err != nil {
		t.Fatal(err)
	}
	if found := ioOf(t, dir); len(found) != 3 {
		t.Fatalf("found %q", found)
	}
}

// ioOf lists the uses of input and output in a package, but for its tests.
func ioOf(t *testing.T, dir string) []string {
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
			if what := barred(n); what != "" {
				found = append(found, files.Position(n.Pos()).String()+": "+what)
			}
			return true
		})
	}
	return found
}

func barred(n ast.Node) string {
	switch n := n.(type) {
	case *ast.GoStmt:
		return "a goroutine"
	case *ast.ImportSpec:
		path, _ := strconv.Unquote(n.Path.Value)
		for _, b := range barredImports {
			if path == b || strings.HasPrefix(path, b+"/") {
				return "import of " + path
			}
		}
	case *ast.SelectorExpr:
		pkg, ok := n.X.(*ast.Ident)
		if !ok || pkg.Name != "time" {
			return ""
		}
		for _, b := range barredClock {
			if n.Sel.Name == b {
				return "time." + b
			}
		}
	}
	return ""
}
