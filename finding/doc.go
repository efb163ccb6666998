// Package finding collects the errors in an input, each with its path, so that they are reported
// together.
package finding
