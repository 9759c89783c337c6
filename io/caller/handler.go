package caller

import (
	"net/http"

	"goji.io"
	"goji.io/pat"

	"heatherford/core"
)

const lookupPath = "/v1/lookup"

// Server answers callers. It is safe for concurrent use.
type Server struct {
	kernel *core.Kernel
	writer *writer
}

// New returns a server for the kernel's callers.
func New(k *core.Kernel) *Server {
	return &Server{
		kernel: k,
		writer: newWriter(k.Settings.Limits.LookupTTL.Std()),
	}
}

// Handler returns the callers' interface.
func (s *Server) Handler() http.Handler {
	m := goji.NewMux()
	m.HandleFunc(pat.Get(lookupPath), s.serveLookup)
	m.HandleFunc(pat.New("/v1/work/:kind/*"), s.serveWork)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Look-ups are most of what comes and need nothing of the mux.
		if r.Method == http.MethodGet && r.URL.Path == lookupPath {
			s.serveLookup(w, r)
			return
		}
		m.ServeHTTP(w, r)
	})
}
