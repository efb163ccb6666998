// Package wire holds the messages of the etcd v3 JSON gateway, as its client and the stand-in use
// them: keys and values in base64, 64-bit numbers as strings, fields of value zero left out.
package wire
