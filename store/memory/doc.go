// Package memory implements the platform's key-value service in memory, using the runtime's clock. The stand-in server
// is based on it, and tests use it with faults injected into individual clients.
package memory
