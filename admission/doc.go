// Package admission decides which work can never run, and how much new work an overloaded owner rejects. It performs
// no I/O.
package admission
