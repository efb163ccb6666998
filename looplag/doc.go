// Package looplag measures how far a process's event loop is behind.
package looplag
