package dispatch

import (
	"context"
	"time"

	"turmericgap/worker"
)

// relaySlack is the additional timeout of a call through a relay: two exchanges with the relay, and its own work.
const relaySlack = 150 * time.Millisecond

// call calls a worker. A direct call waits for a slot first; a call through a relay does not, as the relay makes it.
func (t *term) call(ctx context.Context, agent *worker.Agent, timeout time.Duration, do func(context.Context) error) error {
	if agent.IsRelayed() {
		timeout += relaySlack
	} else {
		done, ok := t.callLimiter.Acquire(ctx)
		if !ok {
			return ctx.Err()
		}
		defer done()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+t.lag.Slack())
	defer cancel()
	return do(ctx)
}
