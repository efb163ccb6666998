// Package etcd speaks the etcd v3 JSON gateway over HTTP, and registers itself as "etcd".
package etcd
