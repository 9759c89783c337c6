package caller

import (
	"net/http"

	"goji.io"
	"goji.io/pat"

	"heatherford/core"
)

// Server answers callers. It is safe for concurrent use.
type Server struct {
	kernel *core.Kernel
}

// New returns a server for the kernel's callers.
func New(k *core.Kernel) *Server {
	return &Server{
		kernel: k,
	}
}

// Handler returns the callers' interface.
func (s *Server) Handler() http.Handler {
	m := goji.NewMux()
	m.HandleFunc(pat.Get("/v1/lookup"), s.serveLookup)
	m.HandleFunc(pat.New("/v1/work/:kind/*"), s.serveWork)
	return m
}
