// Package capacity indexes workers by availability zone and free CPU, so that those on which a task fits are found
// without examining the others. It performs no I/O.
package capacity
