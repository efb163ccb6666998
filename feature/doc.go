// Package feature tells which optional parts of the scheduler are in effect: the operator's choice comes first, then what
// the settings, the configuration and observations call for.
package feature
