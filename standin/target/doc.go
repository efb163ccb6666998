// Package target is a stand-in for the platform's targets. It answers requests within its slots, keeps sessions,
// returns the first answer to repeated keys, and fails on demand.
package target
