// Package callslot limits how many calls a process makes at a time.
package callslot
