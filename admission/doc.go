// Package admission decides which work can never run, how much new work an overloaded owner rejects, and which work could
// only end when its result is worthless. It performs no I/O.
package admission
