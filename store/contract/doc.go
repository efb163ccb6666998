// Package contract is the test suite that every store plug-in must pass. The tests of each plug-in run it.
package contract
