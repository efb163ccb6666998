// Package session makes the self-describing tokens that bind a session to its target.
//
// A token holds all that a gate has to know, and a signature. No gate keeps a session's state, so
// the death of a gate ends none: any gate of any zone that has the key continues it.
package session
