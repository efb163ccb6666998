// Package list is a stand-in for the platform's VM list. It can return an outdated state, with a configurable lag.
package list
