// Package soak is a soak test of the entry program. It runs entry VMs as separate processes on one machine, with
// stand-ins of the platform, injects faults from outside the processes, and checks what callers and workers see. A seed
// determines works and faults. The package consists of test code only, since no production program starts processes.
package soak
