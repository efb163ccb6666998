// Package soak runs the program for the users' platform as separate processes on one machine, beside
// stand-ins of the platform, injects faults from outside them by a seed, and checks what callers and workers
// see. It is a tool for tests; the product starts no processes.
package soak
