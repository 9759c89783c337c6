package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"heatherford/core/code"
	"heatherford/core/config"
	"heatherford/core/drain"
	"heatherford/core/intent"
	"heatherford/core/member"
	"heatherford/io/internal/refuse"
)

const (
	// planLifetime is how long a plan can be confirmed.
	planLifetime = 15 * time.Minute
	// shownChanges bounds the changes that a plan shows.
	shownChanges = 200
)

func (s *Server) servePlan(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		refuse.Write(w, "", code.Wrap(code.OperatorInput, err, "operator: the declaration"))
		return
	}
	d, err := parse(b)
	if err != nil {
		refuse.Write(w, "", err)
		return
	}
	// The plan's identifier is derived from this form, which JSON keeps as it is.
	canonical, err := json.Marshal(d)
	if err != nil {
		refuse.Write(w, "", code.Wrap(code.DeclarationInvalid, err, "operator: the declaration"))
		return
	}
	s.answerPlan(w, r, Plan{
		Reason:      "declaration",
		Declaration: canonical,
	})
}

func (s *Server) servePlanEdit(w http.ResponseWriter, r *http.Request) {
	e := intent.Edit{}
	if err := decode(w, r, &e); err != nil {
		refuse.Write(w, "", err)
		return
	}
	s.answerPlan(w, r, Plan{
		Reason: e.String(),
		Edit:   &e,
	})
}

func (s *Server) servePlanRollback(w http.ResponseWriter, r *http.Request) {
	q := Rollback{}
	if err := decode(w, r, &q); err != nil {
		refuse.Write(w, "", err)
		return
	}
	s.answerPlan(w, r, Plan{
		Reason:     fmt.Sprintf("rollback to version %d", q.Version),
		RollbackTo: q.Version,
	})
}

// answerPlan completes p against the version in force and answers with it, or
// with a refusal if it would overload a region.
func (s *Server) answerPlan(w http.ResponseWriter, r *http.Request, p Plan) {
	head, err := config.Load(r.Context(), &s.kernel.PluginFuncs.Store, s.kernel.Snapshot().Config)
	if err != nil {
		refuse.Write(w, "", err)
		return
	}
	d, err := s.resolve(r.Context(), head, p)
	if err != nil {
		refuse.Write(w, "", err)
		return
	}
	p.Base = head.Number
	p.ExpiresAt = s.kernel.Now().Add(planLifetime).UTC()
	p.Changes = intent.Diff(declarationOf(head), d)
	if n := len(p.Changes); n > shownChanges {
		p.More = n - shownChanges
		p.Changes = p.Changes[:shownChanges]
	}
	p.Assessment, err = s.assess(r.Context(), head, d)
	if err != nil {
		refuse.Write(w, "", err)
		return
	}
	s.warn(&p)
	p.ID, err = planID(p)
	if err != nil {
		refuse.Write(w, "", err)
		return
	}
	encode(w, p)
}

// warn adds what only this host can tell.
func (s *Server) warn(p *Plan) {
	if p.Edit == nil || p.Edit.Kind != intent.EditHost {
		return
	}
	if _, ok := s.kernel.Snapshot().Hosts[p.Edit.Name]; !ok {
		p.Assessment.Warnings = append(p.Assessment.Warnings, fmt.Sprintf("host %s is not known to be alive", p.Edit.Name))
	}
}

// resolve returns the declaration that p leads to from head.
func (s *Server) resolve(ctx context.Context, head *config.Bundle, p Plan) (*intent.Declaration, error) {
	switch {
	case p.Edit != nil:
		if head.Version == nil {
			return nil, code.New(code.OperatorInput, "operator: there is no declaration yet")
		}
		return head.Version.Declaration.With(*p.Edit)
	case p.RollbackTo != 0:
		return config.DeclarationAt(ctx, &s.kernel.PluginFuncs.Store, head, p.RollbackTo)
	default:
		return parse(p.Declaration)
	}
}

func parse(b []byte) (*intent.Declaration, error) {
	d, problems := intent.Parse(b)
	if len(problems) > 0 {
		return nil, code.Wrap(code.DeclarationInvalid, errors.Join(problems...), "operator: the declaration")
	}
	return d, nil
}

func declarationOf(b *config.Bundle) *intent.Declaration {
	if b.Version == nil {
		return nil
	}
	return b.Version.Declaration
}

// assess returns what d means under the present load. It refuses what would
// overload a region.
func (s *Server) assess(ctx context.Context, head *config.Bundle, d *intent.Declaration) (intent.Assessment, error) {
	a := intent.Assess(declarationOf(head), d, s.load(ctx))
	if len(a.Overloads) > 0 {
		return a, code.New(code.PlanOverload, "operator: %s", strings.Join(a.Overloads, "; "))
	}
	return a, nil
}

// load returns the load of late as all hosts report it.
func (s *Server) load(ctx context.Context) intent.Load {
	l := intent.Load{
		Endpoints: map[string]float64{},
		Leaving:   map[string]bool{},
	}
	mine := s.kernel.Report()
	for e, n := range mine.Loads {
		l.Endpoints[e] += n
	}
	for _, d := range mine.Drains {
		if d.Kind == drain.Endpoint && d.Source != drain.SourceDeclaration {
			l.Leaving[d.Name] = true
		}
	}
	for _, h := range s.kernel.PeerReports(ctx) {
		if h.State == member.Dead {
			continue
		}
		if h.Report == nil {
			l.MissingHosts = append(l.MissingHosts, h.Host.Name)
			continue
		}
		for e, n := range h.Report.Loads {
			l.Endpoints[e] += n
		}
	}
	return l
}

// planID returns the identifier of p's content.
func planID(p Plan) (string, error) {
	p.ID = ""
	b, err := json.Marshal(p)
	if err != nil {
		return "", code.Wrap(code.OperatorInput, err, "operator: the plan")
	}
	h := sha256.Sum256(b)
	const bytes = 12
	return hex.EncodeToString(h[:bytes]), nil
}
