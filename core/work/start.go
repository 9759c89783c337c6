package work

import "context"

type startKey struct{}

// WithStart returns a context for which Start returns the result of start.
func WithStart(ctx context.Context, start func() bool) context.Context {
	return context.WithValue(ctx, startKey{}, start)
}

// Start is called right before the first byte of a request is sent to an endpoint or
// another host, and reports whether it may be sent. If it returns false, nothing may be
// sent. Without a function in ctx it returns true.
func Start(ctx context.Context) bool {
	f, ok := ctx.Value(startKey{}).(func() bool)
	return !ok || f()
}
