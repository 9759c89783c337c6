package caller

import (
	"context"

	"heatherford/core/lookup"
	"heatherford/core/once"
)

// issue returns a ticket for d if its work may not be repeated, and d with the
// ticket's home as the host to send to.
func (s *Server) issue(ctx context.Context, d lookup.Decision) (lookup.Decision, once.Issued, error) {
	if d.Kind.Repeatable || s.kernel.PluginFuncs.IssueTicket == nil {
		return d, once.Issued{}, nil
	}
	t, err := s.kernel.PluginFuncs.IssueTicket(ctx, *d.Kind, *d.Host)
	if err != nil {
		return d, t, err
	}
	d.Host = &t.Home
	return d, t, nil
}
