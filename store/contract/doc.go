// Package contract is the one table of what every plug-in of the store has to keep; the tests of
// each plug-in run it.
package contract
