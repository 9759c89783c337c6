package operator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"goji.io"
	"goji.io/pat"

	"heatherford/core"
	"heatherford/core/code"
	"heatherford/core/config"
	"heatherford/io/internal/refuse"
)

const (
	// maxBodyBytes bounds what an operator may send.
	maxBodyBytes = 64 << 20
	// readTimeout bounds the time that an operator may take to send it.
	readTimeout = time.Minute
	// maxHistory bounds the versions in one answer.
	maxHistory = 200
)

// Server answers operators. It is safe for concurrent use.
type Server struct {
	kernel *core.Kernel
	keys   *keys
}

// New returns a server for the kernel's operators.
func New(k *core.Kernel) *Server {
	return &Server{
		kernel: k,
		keys:   newKeys(k.Settings.Operators, k.Log),
	}
}

// Handler returns the operators' interface.
func (s *Server) Handler() http.Handler {
	m := goji.NewMux()
	m.Use(s.keys.require)
	m.HandleFunc(pat.Post("/v1/plan"), s.servePlan)
	m.HandleFunc(pat.Post("/v1/plan/edit"), s.servePlanEdit)
	m.HandleFunc(pat.Post("/v1/plan/rollback"), s.servePlanRollback)
	m.HandleFunc(pat.Post("/v1/confirm"), s.serveConfirm)
	m.HandleFunc(pat.Get("/v1/status"), s.serveStatus)
	m.HandleFunc(pat.Get("/v1/timeline"), s.serveTimeline)
	m.HandleFunc(pat.Get("/v1/rollups"), s.serveRollUps)
	m.HandleFunc(pat.Get("/v1/history"), s.serveHistory)
	return m
}

func (s *Server) serveHistory(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.URL.Query().Get("count"))
	if err != nil || n < 1 || n > maxHistory {
		refuse.Write(w, "", code.New(code.OperatorInput, "operator: count: expected 1 to %d, found %q", maxHistory, r.URL.Query().Get("count")))
		return
	}
	h, err := config.History(r.Context(), &s.kernel.PluginFuncs.Store, n)
	if err != nil {
		refuse.Write(w, "", err)
		return
	}
	encode(w, History{
		Versions: h,
	})
}

// decode parses the body of r into v.
func decode(w http.ResponseWriter, r *http.Request, v any) error {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v); err != nil {
		return code.Wrap(code.OperatorInput, err, "operator: the call's body")
	}
	return nil
}

func encode(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
