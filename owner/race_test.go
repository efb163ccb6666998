//go:build race

package owner

// largestCell is the largest cell of the tests. The race detector takes minutes for more VMs, and they find no other races.
const largestCell = 160
