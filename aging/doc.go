// Package aging decides in which order the works of a queue have their turns: the small ones first, and each
// class of sizes as often as its works arrive. It does no input or output.
package aging
