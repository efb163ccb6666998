// Package soak runs the program for the users' platform as separate processes on one machine, beside
// stand-ins of the platform, injects faults from outside them by a seed, and checks what callers and workers
// see. All of it is test code: no program of ours starts a process.
package soak
