// Package store is the client interface of the platform's key-value service, with compare-and-swap, leases and
// watches. Each plug-in in a subfolder implements one protocol by setting the function fields of a Store.
package store
