package front

import (
	"context"
	"sync"
	"time"

	"turmericgap/admission"
	"turmericgap/rpc"
)

// behindFor is how long it holds what an owner has told of the work that it turns away; it judges itself twice a
// second, and needs new work to tell of it.
const behindFor = 2 * time.Second

// behind is what the owner of the cell has told of the work that it turns away. A part of that is turned away here
// already, which costs the owner nothing, and is not stored without the owner: it would get it all the same.
type behind struct {
	mu    sync.Mutex
	owner string
	share float64
	until time.Time
	gate  admission.Gate
}

// takes reports whether a work is to be handed to the owner, and if not, after how long it may come again.
func (b *behind) takes(kind, owner string) (taken bool, again time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.owner != owner || time.Now().After(b.until) {
		b.share = 0
	}
	return b.gate.Takes(kind, b.share)
}

// told takes in which part the owner turns away.
func (b *behind) told(owner string, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.owner, b.share, b.until = owner, share, time.Now().Add(behindFor)
}

// unanswered takes in that the owner did not answer: one that was behind still is.
func (b *behind) unanswered(owner string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.owner == owner && b.share > 0 && time.Now().Before(b.until) {
		b.until = time.Now().Add(behindFor)
	}
}

// serveAccept takes a work for the VM of its caller.
func (f *Front) serveAccept(ctx context.Context, in *submitRequest) (*acceptReply, error) {
	err := f.o.Dispatcher.Accept(ctx, &in.Work)
	reply := &acceptReply{TurnedAway: f.o.Dispatcher.TurnedAway()}
	if isBusy(err) {
		reply.Again = rpc.AsFault(err).RetryAfter
		return reply, nil
	}
	return reply, err
}
