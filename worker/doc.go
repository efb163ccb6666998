// Package worker describes platform workers, their resources, and the calls that start, renew, list and stop task
// attempts on them.
package worker
