// Package floor is a stand-in for the workers of a cell: programs that run tasks under leases and fences,
// with gangs over several workers, and faults between them and their callers. It keeps the history of
// what ran where and judges it.
package floor
