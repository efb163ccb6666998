// Package session creates and verifies the signed tokens that bind a session to its target.
//
// A token contains all data that a gate needs. Gates keep no session state, so a session survives
// the loss of its gate: any gate of any zone that has the key can continue it.
package session
