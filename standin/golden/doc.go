// Package golden compares the output of a test with a reviewed golden file.
package golden
