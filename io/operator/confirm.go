package operator

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"heatherford/core/code"
	"heatherford/core/config"
	"heatherford/core/timeline"
	"heatherford/io/internal/refuse"
)

// confirmTimeout bounds a confirmation, the writing of a large declaration's parts
// included.
const confirmTimeout = 2 * time.Minute

// maxOperationBytes bounds the identifier of a confirmation.
const maxOperationBytes = 128

func (s *Server) serveConfirm(w http.ResponseWriter, r *http.Request) {
	q := Confirm{}
	if err := decode(w, r, &q); err != nil {
		refuse.Write(w, "", err)
		return
	}
	// An operator who goes away does not end a confirmation half way.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), confirmTimeout)
	defer cancel()
	a, err := s.confirm(ctx, q)
	if err != nil {
		refuse.Write(w, "", err)
		return
	}
	s.kernel.Record(timeline.Event{
		Kind:    timeline.KindConfig,
		Phase:   timeline.PhaseBegun,
		Subject: strconv.FormatUint(a.Number, 10),
		Text:    "version confirmed by " + operatorName(ctx),
	})
	s.kernel.OfferBundle(a.Newest)
	if a.Newest.Version != nil {
		// Hosts of other zones have the version before the operator hears that
		// it is confirmed: it stays known if the platform and this host go.
		s.kernel.PluginFuncs.PushVersion(ctx, a.Newest.Version)
	}
	encode(w, Confirmed{
		Version: a.Number,
	})
}

func (s *Server) confirm(ctx context.Context, q Confirm) (*config.Confirmed, error) {
	if err := s.check(q); err != nil {
		return nil, err
	}
	have := s.kernel.Snapshot().Config
	c := config.Confirmation{
		Base:      q.Plan.Base,
		Operation: q.Operation,
		Operator:  operatorName(ctx),
		Reason:    q.Plan.Reason,
		At:        s.kernel.Now().UTC(),
	}
	if have.Number <= q.Plan.Base {
		head, err := config.Load(ctx, &s.kernel.PluginFuncs.Store, have)
		if err != nil {
			return nil, code.Wrap(code.ConfirmRefused, err, "operator: the table cannot be read, nothing was written")
		}
		have = head
	}
	if have.Number == q.Plan.Base {
		d, err := s.resolve(ctx, have, q.Plan)
		if err != nil {
			return nil, err
		}
		// The load may have changed since the plan was made.
		if _, err := s.assess(ctx, have, d); err != nil {
			return nil, err
		}
		c.Declaration = d
	}
	// A plan against an older version is refused there, unless its operation
	// has taken effect before.
	return config.Confirm(ctx, &s.kernel.PluginFuncs.Store, have, c)
}

func (s *Server) check(q Confirm) error {
	id, err := planID(q.Plan)
	if err != nil {
		return err
	}
	if q.Plan.ID != id {
		return code.New(code.PlanUnknown, "operator: the plan is not one that a host made")
	}
	if s.kernel.Now().After(q.Plan.ExpiresAt) {
		return code.New(code.PlanExpired, "operator: the plan expired at %s", q.Plan.ExpiresAt.Format(time.RFC3339))
	}
	if q.Operation == "" || len(q.Operation) > maxOperationBytes {
		return code.New(code.OperatorInput, "operator: operation: expected an identifier of 1 to %d bytes, found %d bytes", maxOperationBytes, len(q.Operation))
	}
	return nil
}
