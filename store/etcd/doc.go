// Package etcd implements a store.Store over the JSON gateway of etcd v3. It registers itself as "etcd".
package etcd
