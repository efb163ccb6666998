// Package trial compares two versions of the code by plays of the same days under the same seeds.
//
// Two plays of one day differ by more than most changes bring, so that a single pair says little. A
// Comparison pairs the plays by day and seed, and gives for each figure the mean difference with the
// interval in which it lies with a probability of 95 in 100, and how many pairs would narrow it to one
// hundredth.
package trial
