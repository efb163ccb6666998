// Package wire defines the messages of the etcd v3 JSON gateway for its client and the stand-in server. Keys and
// values are encoded in base64 and 64-bit numbers as strings; zero fields are omitted.
package wire
