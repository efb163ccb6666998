// Package front takes callers' work on every entry VM: it makes submissions durable, and answers for
// any work from the owner of the cell or, where that cannot be reached, from the store.
package front
