// Package memory is the platform's key-value service held in memory, on the runtime's clock. It is
// the core of the stand-in server and, with faults put into single clients, the service of tests.
package memory
