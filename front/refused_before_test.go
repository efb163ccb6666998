package front

import (
	"testing"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/rpc"
	"turmericgap/store"
	"turmericgap/workrecord"
)

// Guards against telling a caller that its work never runs because an earlier submission was refused, while the owner is
// accepting this one.
func TestRefusedBeforeWhileOwnerMayAccept(t *testing.T) {
	for mayAccept, want := range map[bool]rpc.Code{false: rpc.CodeRefused, true: rpc.CodeUnknown} {
		is := is.New(t)
		s := &submission{work: &job.Work{ID: "w"}, mayBeAccepted: mayAccept, ownerMayAccept: mayAccept, done: make(chan result, 1)}
		var a acceptor
		left := a.resolveExisting([]*submission{s}, []store.Pair{{Key: workrecord.RefusedPrefix + "w", ModRevision: 7}})
		is.Equal(len(left), 0)
		is.Equal(rpc.AsFault((<-s.done).err).Code, want)
	}
}
