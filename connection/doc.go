// Package connection limits what the connections of callers hold: their number, and the memory of the requests that arrive
// on them. Requests are parsed by net/http, whose own limits count bytes on the wire; a Budget counts what they take in
// memory. When it is exhausted, connections are closed on which a request has stood still for longest.
package connection
