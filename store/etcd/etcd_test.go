package etcd_test

import (
	"net/http/httptest"
	"testing"

	standin "turmericgap/standin/store"
	"turmericgap/store"
	"turmericgap/store/contract"
	"turmericgap/store/etcd"
	"turmericgap/store/memory"
)

func TestContract(t *testing.T) {
	contract.Run(t, func(t *testing.T) *store.Store {
		server := httptest.NewServer(standin.New(memory.New()))
		t.Cleanup(server.Close)
		s, err := store.Open(etcd.Name, server.URL)
		if err != nil {
			t.Fatal(err)
		}
		return s
	})
}
