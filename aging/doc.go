// Package aging decides how long a work may wait for its turn among the others of its queue. It does no
// input or output.
package aging
