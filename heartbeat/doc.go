// Package heartbeat decides when to poll a worker again for its runs and their results. It performs no I/O.
package heartbeat
