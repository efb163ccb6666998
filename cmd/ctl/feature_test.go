package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/feature"
)

func TestFeatureCells(t *testing.T) {
	is := is.New(t)
	at := time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)
	s := feature.State{Name: feature.Speed, Mode: feature.Auto, Effective: true, Reason: feature.Observed, Since: at}
	is.Equal(strings.Join(featureCells(&s), "|"), "speed|auto|yes|observed|2026-03-01T10:00:00Z")
	is.Equal(strings.Join(featureCells(&feature.State{Name: feature.Notice, Mode: feature.Auto, Reason: feature.Undecided}), "|"), "notice|auto|no|undecided|-")
	is.Equal(speedSummary(nil), "speeds of workers: none learned yet")
	is.Equal(speedSummary([]feature.WorkerSpeed{{Worker: "a", Factor: 0.6}, {Worker: "b", Factor: 1}, {Worker: "c", Factor: 1.6}}),
		"run times of 3 workers, 1 is typical: fastest tenth up to 0.60, median 1.00, slowest tenth from 1.60")
}

// Guards against exit code 0 when the page could not be read.
func TestFeatures(t *testing.T) {
	is := is.New(t)
	status := http.StatusOK
	vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.URL.Path, "/features")
		w.WriteHeader(status)
		is.NoErr(json.NewEncoder(w).Encode(feature.NewStatus(nil, nil).Report()))
	}))
	defer vm.Close()
	address := strings.TrimPrefix(vm.URL, "http://")
	is.Equal(run([]string{"features", "--ops", address}), 0)
	is.Equal(run([]string{"features", "--ops", address, "--json"}), 0)
	status = http.StatusServiceUnavailable
	is.Equal(run([]string{"features", "--ops", address}), exitFailed)
	is.Equal(run([]string{"features", "--ops", "vm1"}), exitUsage)
}
