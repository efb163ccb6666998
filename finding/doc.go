// Package finding collects what is wrong with an input, each fault with its place, so that all of
// them are reported together.
package finding
