package admission

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against works that are added twice or never removed, so that the owner refuses all others.
func TestMemory(t *testing.T) {
	is := is.New(t)
	m := Memory{Limit: 100}
	is.True(m.Admits(1000)) // alone
	large := Memory{Limit: 100 << 10}
	large.Add("a", 60<<10)
	is.True(!large.Admits(20 << 10))
	is.True(large.Admits(smallWorkBytes))
	m.Add("a", 60)
	m.Add("a", 60)
	is.True(m.Admits(40))
	is.True(!m.Admits(41))
	m.Add("b", 50) // accepted by another VM
	is.Equal(m.Held(), int64(110))
	m.Remove("a")
	m.Remove("a")
	is.True(m.Admits(50))
	m.Remove("b")
	is.Equal(m.Held(), int64(0))
	is.True((&Memory{held: 1 << 40}).Admits(1))
}
