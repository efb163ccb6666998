// Package history verifies a test run. It collects the results that callers got and what workers and
// targets did, and reports every violated guarantee.
package history
