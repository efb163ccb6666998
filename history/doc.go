// Package history judges a test run: it collects what callers were told and what workers and
// targets did, and finds every promise that was broken.
package history
