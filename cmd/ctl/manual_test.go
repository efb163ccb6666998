package main

import (
	"bytes"
	"testing"

	"turmericgap/standin/golden"
)

const manualFile = "../../docs/ctl.md"

func TestManual(t *testing.T) {
	var got bytes.Buffer
	writeManual(&got, newParser(&commonOptions{}))
	golden.Equal(t, manualFile, got.Bytes())
}
