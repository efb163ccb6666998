package golden

import (
	"bytes"
	"os"
	"testing"
)

// updateVariable is the environment variable that has the files written anew, for all packages of a run.
const updateVariable = "UPDATE_GOLDEN"

// Equal fails the test unless got is what the file holds, byte for byte.
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
		t.Errorf("%s differs; %s=1 writes it anew. Got:\n%s\nwant:\n%s", path, updateVariable, got, want)
	}
}
