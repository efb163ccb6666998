// Package front serves callers on every entry VM. It makes submissions durable and answers requests about any
// work, from the owner of the cell or, if the owner cannot be reached, from the store.
package front
