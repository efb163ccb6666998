// Package heartbeat decides when a worker is asked next for its runs and ends. It does no input or output.
package heartbeat
