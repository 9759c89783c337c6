package operator

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"heatherford/core/code"
	"heatherford/core/timeline"
	"heatherford/io/internal/refuse"
)

// defaultTimelineLimit is the most events of one host, if none is stated.
const defaultTimelineLimit = 10_000

// Timeline is the events of all hosts.
type Timeline struct {
	// Hosts are all hosts that were asked, ordered by name.
	Hosts []timeline.Answer `json:"hosts"`
	// Events are in causal order.
	Events []timeline.Event `json:"events"`
}

func (s *Server) serveTimeline(w http.ResponseWriter, r *http.Request) {
	q, err := timelineQuery(r)
	if err != nil {
		refuse.Write(w, "", err)
		return
	}
	a := s.kernel.PluginFuncs.QueryTimeline(r.Context(), q)
	encode(w, Timeline{
		Hosts:  a,
		Events: timeline.Merge(a),
	})
}

func timelineQuery(r *http.Request) (timeline.Query, error) {
	v := r.URL.Query()
	q := timeline.Query{
		Request: v.Get("request"),
		Limit:   defaultTimelineLimit,
	}
	if t := v.Get("since"); t != "" {
		since, err := time.Parse(time.RFC3339Nano, t)
		if err != nil {
			return q, code.Wrap(code.OperatorInput, err, "operator: since")
		}
		q.Since = since
	}
	if t := v.Get("limit"); t != "" {
		n, err := strconv.Atoi(t)
		if err != nil || n < 1 {
			return q, code.New(code.OperatorInput, "operator: limit: expected a number from 1, found %q", t)
		}
		q.Limit = n
	}
	if t := v.Get("kind"); t != "" {
		for _, k := range strings.Split(t, ",") {
			q.Kinds = append(q.Kinds, timeline.Kind(k))
		}
	}
	return q, nil
}
