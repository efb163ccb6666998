// Package store is the client of the platform's key-value service: compare-and-swap, leases and
// watches. A plug-in in a subfolder speaks one protocol and fills in a Store's function fields.
package store
