// Package list is a stand-in for the platform's VM list. The list may return the state of some time ago.
package list
