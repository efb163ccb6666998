// Package refusal records refused works in the store, so that no earlier submission can create them.
package refusal
