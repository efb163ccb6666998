// Package list is a stand-in of the platform's VM list, which shows the state of some time ago.
package list
