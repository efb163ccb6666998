// Package cell contains end-to-end tests of complete cells. They run real processes on this machine, and
// kill, stop and continue them under load.
package cell
