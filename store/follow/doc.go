// Package follow reads all keys under a prefix and then hears of every change, across lost watches and
// forgotten history.
package follow
