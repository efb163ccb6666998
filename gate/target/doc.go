// Package target defines the calls to platform targets. A target runs one service: it answers
// checks and holds sessions within a limited number of slots and connections.
package target
