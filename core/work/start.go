package work

import "context"

type startKey struct{}

// WithStart returns a context under which Start calls start.
func WithStart(ctx context.Context, start func() bool) context.Context {
	return context.WithValue(ctx, startKey{}, start)
}

// Start says that the request under ctx is about to leave this host, and
// reports whether it may. Whoever sends a request calls it before the first
// byte; after false nothing may be sent.
func Start(ctx context.Context) bool {
	f, ok := ctx.Value(startKey{}).(func() bool)
	return !ok || f()
}
