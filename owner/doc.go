// Package owner tells which entry VMs are alive and which one of them owns the cell.
//
// Each VM keeps one lease at the platform's store. Its entry among the nodes, and the owner's key
// where it has that, are bound to this lease. The revision at which the owner's key was written is
// the fencing token of that tenure, and every commit of the owner compares it.
package owner
