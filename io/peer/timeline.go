package peer

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherford/core"
	"heatherford/core/rollup"
	"heatherford/core/store"
	"heatherford/core/timeline"
	"heatherford/io/peer/peerpb"
)

const (
	timelineTimeout = 2 * time.Second
	// timelineCalls bounds the calls in flight for one question.
	timelineCalls = 64
	// maxTimelineEvents bounds the answer of one host.
	maxTimelineEvents = 10_000
)

// timelineServer answers other daemons about this one's events.
type timelineServer struct {
	kernel *core.Kernel
}

// Events implements peerpb.Timeline.
func (s *timelineServer) Events(_ context.Context, r *peerpb.EventsRequest) (*peerpb.EventsResponse, error) {
	q := timeline.Query{
		Request: r.Request,
		Limit:   maxTimelineEvents,
	}
	if r.Since > 0 {
		q.Since = time.Unix(0, r.Since)
	}
	if n := int(r.Limit); n > 0 && n < q.Limit {
		q.Limit = n
	}
	for _, k := range r.Kinds {
		q.Kinds = append(q.Kinds, timeline.Kind(k))
	}
	a := timeline.Select(s.kernel.Ring, s.kernel.Settings.Host, q)
	m := &peerpb.EventsResponse{
		Host:      a.Host,
		Forgotten: a.Forgotten,
	}
	for _, e := range a.Events {
		m.Events = append(m.Events, &peerpb.Event{
			Wall:    e.At.Wall,
			Count:   e.At.Count,
			Kind:    string(e.Kind),
			Phase:   string(e.Phase),
			Request: e.Request,
			Subject: e.Subject,
			Text:    e.Text,
		})
	}
	return m, nil
}

// timeline asks all hosts for the events that match q.
func (c *client) timeline(ctx context.Context, q timeline.Query) []timeline.Answer {
	hosts := c.others()
	answers := make([]timeline.Answer, len(hosts), len(hosts)+1)
	g := errgroup.Group{}
	g.SetLimit(timelineCalls)
	for i, h := range hosts {
		g.Go(func() error {
			answers[i] = c.events(ctx, h, q)
			return nil
		})
	}
	_ = g.Wait()
	answers = append(answers, timeline.Select(c.kernel.Ring, c.kernel.Settings.Host, q))
	slices.SortFunc(answers, func(a, b timeline.Answer) int {
		return strings.Compare(a.Host, b.Host)
	})
	return answers
}

func (c *client) events(ctx context.Context, h store.Host, q timeline.Query) timeline.Answer {
	m := &peerpb.EventsRequest{
		Request: q.Request,
		Limit:   int32(q.Limit),
	}
	if !q.Since.IsZero() {
		m.Since = q.Since.UnixNano()
	}
	for _, k := range q.Kinds {
		m.Kinds = append(m.Kinds, string(k))
	}
	a, err := c.timelinePeer(h).Events(ctx, m)
	if err != nil {
		return timeline.Answer{
			Host:  h.Name,
			Error: err.Error(),
		}
	}
	return timeline.Answer{
		Host:      h.Name,
		Forgotten: a.Forgotten,
		Events:    events(h.Name, a.Events),
	}
}

func events(host string, in []*peerpb.Event) []timeline.Event {
	s := make([]timeline.Event, 0, len(in))
	for _, e := range in {
		s = append(s, timeline.Event{
			At: timeline.Stamp{
				Wall:  e.Wall,
				Count: e.Count,
			},
			Host:    host,
			Kind:    timeline.Kind(e.Kind),
			Phase:   timeline.Phase(e.Phase),
			Request: e.Request,
			Subject: e.Subject,
			Text:    e.Text,
		})
	}
	return s
}

func (c *client) timelinePeer(h store.Host) peerpb.Timeline {
	return peerpb.NewTimelineProtobufClient("http://"+h.PeerAddress.String(), &http.Client{
		Transport: c.transport,
		Timeout:   timelineTimeout,
	})
}

// Keep implements peerpb.Timeline.
func (s *timelineServer) Keep(_ context.Context, r *peerpb.KeepRequest) (*peerpb.KeepResponse, error) {
	o := make([]rollup.Object, 0, len(r.RollUps))
	for _, u := range r.RollUps {
		o = append(o, rollup.Object{
			Name: u.Name,
			Data: u.Data,
		})
	}
	return &peerpb.KeepResponse{
		Taken: int32(s.kernel.RollUps.Take(o)),
	}, nil
}
