package main

import (
	"bytes"
	"os"
	"testing"

	"github.com/matryer/is"
)

const manualFile = "../../docs/ctl.md"

func TestManual(t *testing.T) {
	is := is.New(t)
	var got bytes.Buffer
	writeManual(&got, newParser(&common{}))
	if os.Getenv("UPDATE_GOLDEN") != "" {
		is.NoErr(os.WriteFile(manualFile, got.Bytes(), 0o644))
	}
	want, err := os.ReadFile(manualFile)
	is.NoErr(err)
	is.Equal(string(want), got.String())
}
