// Package quarantine decides from the ends of its runs whether a worker is suspect, so that others are preferred, or
// quarantined, so that it gets no new runs for a while. It performs no I/O.
package quarantine
