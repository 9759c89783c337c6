package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"goji.io"
	"goji.io/pat"

	"heatherford/core"
	"heatherford/core/code"
	"heatherford/core/config"
	"heatherford/core/intent"
	"heatherford/core/timeline"
	"heatherford/io/internal/refuse"
)

const (
	// planLifetime is how long a plan can be confirmed.
	planLifetime = 15 * time.Minute
	// maxBodyBytes bounds what an operator may send.
	maxBodyBytes = 64 << 20
)

// Server answers operators. It is safe for concurrent use.
type Server struct {
	kernel *core.Kernel
}

// New returns a server for the kernel's operators.
func New(k *core.Kernel) *Server {
	return &Server{
		kernel: k,
	}
}

// Handler returns the operators' interface.
func (s *Server) Handler() http.Handler {
	m := goji.NewMux()
	m.HandleFunc(pat.Post("/v1/plan"), s.servePlan)
	m.HandleFunc(pat.Post("/v1/confirm"), s.serveConfirm)
	m.HandleFunc(pat.Get("/v1/status"), s.serveStatus)
	m.HandleFunc(pat.Get("/v1/timeline"), s.serveTimeline)
	m.HandleFunc(pat.Get("/v1/rollups"), s.serveRollUps)
	return m
}

func (s *Server) servePlan(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		refuse.Write(w, "", code.Wrap(code.OperatorInput, err, "operator: the declaration"))
		return
	}
	d, problems := intent.Parse(b)
	if len(problems) > 0 {
		refuse.Write(w, "", code.Wrap(code.DeclarationInvalid, errors.Join(problems...), "operator: the declaration"))
		return
	}
	head, _, err := config.Head(r.Context(), &s.kernel.Seams.Store)
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
	p := Plan{
		ExpiresAt:   s.kernel.Now().Add(planLifetime).UTC(),
		Declaration: canonical,
	}
	old := (*intent.Declaration)(nil)
	if head != nil {
		p.Base = head.Number
		old = head.Declaration
	}
	p.Changes = intent.Diff(old, d)
	p.ID = planID(p)
	encode(w, p)
}

func (s *Server) serveConfirm(w http.ResponseWriter, r *http.Request) {
	q := Confirm{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&q); err != nil {
		refuse.Write(w, "", code.Wrap(code.OperatorInput, err, "operator: the confirmation"))
		return
	}
	v, err := s.confirm(r, q)
	if err != nil {
		refuse.Write(w, "", err)
		return
	}
	s.kernel.Record(timeline.Event{
		Kind:    timeline.KindConfig,
		Phase:   timeline.PhaseBegun,
		Subject: strconv.FormatUint(v.Number, 10),
		Text:    "version confirmed",
	})
	s.kernel.OfferVersion(v)
	s.kernel.Seams.Push(v)
	encode(w, Confirmed{
		Version: v.Number,
	})
}

func (s *Server) confirm(r *http.Request, q Confirm) (*intent.Version, error) {
	if q.Plan.ID != planID(q.Plan) {
		return nil, code.New(code.PlanUnknown, "operator: the plan is not one that a host made")
	}
	if s.kernel.Now().After(q.Plan.ExpiresAt) {
		return nil, code.New(code.PlanExpired, "operator: the plan expired at %s", q.Plan.ExpiresAt.Format(time.RFC3339))
	}
	if q.Operation == "" {
		return nil, code.New(code.OperatorInput, "operator: operation: expected an identifier, found an empty string")
	}
	d, problems := intent.Parse(q.Plan.Declaration)
	if len(problems) > 0 {
		return nil, code.Wrap(code.DeclarationInvalid, errors.Join(problems...), "operator: the declaration")
	}
	return config.Confirm(r.Context(), &s.kernel.Seams.Store, q.Plan.Base, d, q.Operation)
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	v := s.kernel.Snapshot()
	a := Status{
		Host:  s.kernel.Settings.Host,
		Hosts: len(v.Hosts),
	}
	if v.Version != nil {
		a.Version = v.Version.Number
	}
	encode(w, a)
}

// planID returns the identifier of p's content.
func planID(p Plan) string {
	h := sha256.New()
	fmt.Fprintf(h, "%d %d ", p.Base, p.ExpiresAt.UnixNano())
	h.Write(p.Declaration)
	const bytes = 12
	return hex.EncodeToString(h.Sum(nil)[:bytes])
}

func encode(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
