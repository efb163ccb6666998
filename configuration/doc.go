// Package configuration keeps the operators' configuration up to date on one entry VM. It follows the
// store, polls other VMs while the store does not answer this one, and never returns to an older version.
package configuration
