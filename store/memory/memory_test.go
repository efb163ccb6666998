package memory_test

import (
	"testing"

	"turmericgap/store"
	"turmericgap/store/contract"
	"turmericgap/store/memory"
)

func TestContract(t *testing.T) {
	contract.Run(t, func(*testing.T) *store.Store { return memory.New().Store() })
}

func TestContractThroughFaults(t *testing.T) {
	contract.Run(t, func(*testing.T) *store.Store { return memory.New().Client(&memory.Faults{}) })
}
