// Package straggler decides which running tasks get a second copy. It performs no I/O and reads no clock.
//
// It answers a load in which a few tasks take several times as long as others of their kind, on any worker: a step ends
// with its slowest task, so a step of 25 tasks with a tail of 3 % is late more often than not.
package straggler
