// Package operate holds what operators ask of a cell: the state of its schedulers and the history of its rules.
package operate
