package dispatch

import (
	"context"

	"heatherford/core/work"
)

// retry runs repeatable work.
func (d *Dispatcher) retry(ctx context.Context, r *work.Request) (*work.Answer, error) {
	return d.route(ctx, r)
}
