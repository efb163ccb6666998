// Package trial compares two versions of the code by simulations of the same days with the same seeds.
//
// Two simulations of a day differ by more than the effect of most changes, so a single pair is not conclusive. A
// Comparison pairs results by day and seed. For each figure it has the mean difference with its 95 % confidence
// interval, and the number of pairs that would narrow the interval to ± 0.01.
package trial
