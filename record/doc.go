// Package record implements a write-ahead journal in the platform's key-value store. Each zone's owner has one.
//
// Records are committed in groups: one transaction writes all records queued since the previous commit. It compares
// the owner's epoch, which fences off an owner that has been replaced. Snapshots of the live state replace old
// segments, so storage and recovery time depend on the live state and not on the length of the history.
//
// If the response to a transaction is lost, the journal reads the segment's key to determine whether the group was
// written. It reports no outcome to callers before that.
package record
