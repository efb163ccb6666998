// Package evacuation decides what becomes of the runs on a worker that has announced when it leaves at the earliest: they
// stay, or are stopped so that their tasks go on elsewhere. It performs no I/O and reads no clock.
//
// It answers a load in which workers leave a few seconds after a notice: without it, everything on them runs until it is
// lost, and the owner learns of the loss only later.
package evacuation
