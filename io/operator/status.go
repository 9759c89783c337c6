package operator

import (
	"net/http"

	"heatherford/core/member"
	"heatherford/core/store"
)

func (s *Server) serveStatus(w http.ResponseWriter, r *http.Request) {
	v := s.kernel.Snapshot()
	a := Status{
		Report: s.kernel.Report(),
		Hosts:  1,
		Others: []HostStatus{},
	}
	if v.Version != nil {
		a.ConfirmedAt = v.Version.ConfirmedAt
		a.Operator = v.Version.Operator
	}
	last := a.InForceSince
	for _, h := range s.kernel.PeerReports(r.Context()) {
		a.Others = append(a.Others, HostStatus{
			Name:    h.Host.Name,
			State:   stateName(h.State),
			Leaving: h.Host.State == store.HostLeaving,
			Report:  h.Report,
		})
		if h.State == member.Dead {
			continue
		}
		a.Hosts++
		if h.Report == nil || h.Report.Version < a.Version {
			a.Behind++
			continue
		}
		if h.Report.Version == a.Version && h.Report.InForceSince.After(last) {
			last = h.Report.InForceSince
		}
	}
	if a.Behind == 0 && v.Version != nil {
		a.EverywhereMS = last.Sub(v.Version.ConfirmedAt).Milliseconds()
	}
	encode(w, a)
}
