// Package lag measures how far an event loop is behind, and how much longer answers to its calls may take because of
// that. It performs no I/O.
package lag
