// Package follow reads all keys under a prefix and then watches them for changes. It reads the keys again after the
// watch is lost or the store has compacted its history.
package follow
