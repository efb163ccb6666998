// Package permit asks a queue's policy service which workers may run a step. It distributes these requests over the
// entry VMs, because the service answers only one request at a time per VM.
package permit
