// Package tally counts the outcomes of works by queue and size class. It performs no I/O.
package tally
