package gate

import "context"

// doSession runs one request of a session at the session's target.
func (g *Gate) doSession(ctx context.Context, cl *call) *Result {
	return g.run(ctx, cl)
}
