// Package configuration keeps the operators' configuration up to date on one entry VM. It follows the store, polls other
// VMs while the store does not answer this one, tells some of them of each new version, and never returns to an older one.
//
// A document may be large and the link of a VM slow. No transfer is therefore begun again while it makes progress: responses
// of the store are awaited while they arrive, and other VMs send parts, of which each stays once it has arrived.
package configuration
