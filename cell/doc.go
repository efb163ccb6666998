// Package cell holds the tests of whole cells: real processes on this machine, killed, stopped and
// continued while they serve.
package cell
