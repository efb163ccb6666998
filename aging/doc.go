// Package aging decides in which order the works of a queue start: small ones first, and works of each size class as
// often as they arrive. It performs no I/O.
package aging
