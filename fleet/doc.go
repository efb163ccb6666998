// Package fleet decides which workers or targets may get new work, from direct evidence and the
// lagging VM list. It has no clock and does no I/O.
package fleet
