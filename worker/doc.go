// Package worker describes platform workers and the calls that start, renew, list and stop task
// attempts on them.
package worker
