package caller

import (
	"net/http"

	"heatherford/io/internal/carry"
)

func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	carry.Serve(s.kernel, w, r, false)
}
