// Package planner decides which task starts where and when: admission, queueing, quotas, placement and
// preemption. It uses no clock, I/O or goroutines, and must be used from a single goroutine.
package planner
