// Package record keeps one owner's records in the platform's key-value service.
//
// Records become durable in groups: one transaction writes all that became due since the last, and
// compares the owner's epoch, so that an owner that was replaced writes nothing more. Snapshots of
// what is live replace old groups, so that storage and recovery follow what is live.
//
// An answer that was lost leaves open whether its group was written. The journal then reads the
// group's key and decides by what it finds; nobody is told anything before that.
package record
