// Package target is the cell's view of a platform target: a runner of a service that answers
// checks and holds sessions within a number of slots and connections.
package target
