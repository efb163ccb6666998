// Package workerlist follows the entries of the workers in the store. It decodes them, passes on those that say something
// new, and tells how far the list is behind the store.
//
// It answers a fleet of thousands of workers of which each writes its entry every few seconds: almost all of these writes
// say only that the worker is alive, which the owner of the cell knows from the worker itself.
package workerlist
