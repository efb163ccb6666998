// Package planner decides which task starts where and when: admission, queue, quotas, placement and
// preemption. It is pure code without clock, I/O or goroutines, and one goroutine owns it.
package planner
