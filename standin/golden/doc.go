// Package golden compares what a test has made with a file that was read and found right.
package golden
