//go:build !race

package owner

// largestCell is the largest cell of the tests.
const largestCell = 640
