package golden

import (
	"bytes"
	"os"
	"testing"
)

// updateVariable is the environment variable that makes Equal rewrite the golden files, in all packages of a test run.
const updateVariable = "UPDATE_GOLDEN"

// Equal fails the test unless got is identical to the content of the golden file.
func Equal(t *testing.T, path string, got []byte) {
	t.Helper()
	if os.Getenv(updateVariable) != "" {
		if err := os.WriteFile(path, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs; set %s=1 to rewrite it. Got:\n%s\nwant:\n%s", path, updateVariable, got, want)
	}
}
