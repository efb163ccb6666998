// Package store is a stand-in for the platform's key-value service, for tests and demonstrations. It serves the
// etcd v3 JSON gateway over a memory.Service, with faults that can be set at run time.
package store
