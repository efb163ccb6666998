// Package worker is the cell's view of a platform worker: what it has, and the calls that start,
// renew, list and stop task attempts on it.
package worker
