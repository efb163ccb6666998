// Package operate implements the operators' queries on a cell: the state of its schedulers and the history
// of its rules.
package operate
