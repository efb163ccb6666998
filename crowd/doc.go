// Package crowd tests how the entry and gate programs bear many clients that misuse the protocol: requests of legal size
// whose headers, bodies or connections are made to cost a server more than they cost their senders. It runs the programs as
// separate processes on loopback addresses. The package consists of test code only.
package crowd
