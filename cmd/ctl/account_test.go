package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"turmericgap/account"
	"turmericgap/job"
)

func TestAccountCells(t *testing.T) {
	is := is.New(t)
	r := account.Report{
		Name: "kochi", Weight: 40, Runs: 3, Running: job.Resources{Millicores: 3000, MemoryMB: 600}, Share: 0.25,
		Waiting: 4, WaitingForCap: 4, Refused: 2,
	}
	is.Equal(strings.Join(accountCells(&r), "|"), "kochi|40|3|"+formatResources(r.Running)+"|none|25%|4|4|0|2|held back by its cap")
}

// Guards against a state that names the wrong reason for waiting.
func TestAccountState(t *testing.T) {
	is := is.New(t)
	for want, r := range map[string]account.Report{
		"nothing waits":               {},
		"held back by its cap":        {Waiting: 2, WaitingForCap: 2, Surplus: 1},
		"partly held back by its cap": {Waiting: 2, WaitingForCap: 1},
		"beyond its rate":             {Waiting: 2, Surplus: 1},
		"waits for room or permits":   {Waiting: 2},
	} {
		is.Equal(accountState(&r), want)
	}
}

func TestAccounts(t *testing.T) {
	is := is.New(t)
	status := http.StatusOK
	vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.URL.Path, "/accounts")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(`{"version":7,"accounts":[{"name":"kochi","weight":40,"waiting":1}]}`))
	}))
	defer vm.Close()
	address := strings.TrimPrefix(vm.URL, "http://")
	is.Equal(run([]string{"accounts", "--ops", address}), 0)
	is.Equal(run([]string{"accounts", "--ops", address, "--json"}), 0)
	status = http.StatusServiceUnavailable
	is.Equal(run([]string{"accounts", "--ops", address}), exitFailed)
	is.Equal(run([]string{"accounts", "--ops", "vm1"}), exitUsage)
	is.Equal(run([]string{"accounts"}), exitUsage)
}
