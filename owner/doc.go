// Package owner tracks which entry VMs are alive and elects the one that owns the cell.
//
// Each VM holds one lease at the platform's store. Its node entry, and the owner key if it has it, are bound to
// this lease. The revision at which the owner key was written is the fencing token of the tenure; every commit of
// the owner compares it.
//
// In a cell of up to 128 VMs each VM follows the entries of all. In a larger one only the owner and a few candidates of each
// availability zone do, which the owner names in a directory; the other VMs learn a few peers from a candidate. So what a VM
// reads does not grow with the cell.
package owner
