// Package fleet tracks the health of workers or targets, its members, and decides which of them may get new
// work. It combines heartbeats and outcomes with the VM list, which lags behind. It has no clock and does no I/O.
package fleet
