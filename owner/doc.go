// Package owner tracks which entry VMs are alive and elects the one that owns the cell.
//
// Each VM holds one lease at the platform's store. Its node entry, and the owner key if it has it, are bound to
// this lease. The revision at which the owner key was written is the fencing token of the tenure; every commit of
// the owner compares it.
package owner
