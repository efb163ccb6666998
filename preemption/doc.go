// Package preemption chooses which running tasks to stop so that an urgent one can start in time. It performs no I/O.
package preemption
