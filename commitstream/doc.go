// Package commitstream decides when a group of changes is sent to the store, and on which of several streams of
// transactions. It performs no I/O.
package commitstream
