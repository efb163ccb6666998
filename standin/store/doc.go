// Package store is a stand-in of the platform's key-value service for tests and demonstrations: the
// etcd v3 JSON gateway over a memory.Service, with faults that can be set at run time.
package store
