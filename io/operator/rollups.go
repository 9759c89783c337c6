package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"heatherford/core"
	"heatherford/core/code"
	"heatherford/core/rollup"
	"heatherford/io/internal/refuse"
)

const (
	// rollUpReads and rollUpRate bound the calls in flight and in a second that
	// one report costs the platform.
	rollUpReads = 8
	rollUpRate  = 300
	// maxReportHours bounds the time that one call may cover.
	maxReportHours = 26
)

// RollUpLine is one line of the answer with a day's roll-ups. The last line has
// End set; an answer without it is cut off.
type RollUpLine struct {
	// Roll is a roll-up.
	Roll *rollup.Roll `json:"roll_up,omitempty"`
	// Problem says what could not be read.
	Problem string `json:"problem,omitempty"`
	End     bool   `json:"end,omitempty"`
}

// serveRollUps answers with all roll-ups of the hours from from to to, one JSON
// value a line.
func (s *Server) serveRollUps(w http.ResponseWriter, r *http.Request) {
	from, to, err := rollUpHours(r)
	if err != nil {
		refuse.Write(w, "", err)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	c := &rollUpReader{
		kernel: s.kernel,
		lines:  make(chan RollUpLine),
		limit:  rate.NewLimiter(rollUpRate, rollUpReads),
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	go c.read(ctx, from, to)
	e := json.NewEncoder(w)
	for l := range c.lines {
		if e.Encode(l) != nil {
			cancel()
		}
	}
}

func rollUpHours(r *http.Request) (from, to time.Time, err error) {
	from, err = hourOf(r, "from")
	if err != nil {
		return from, to, err
	}
	to, err = hourOf(r, "to")
	if err != nil {
		return from, to, err
	}
	if d := to.Sub(from); d <= 0 || d > maxReportHours*rollup.HourLength {
		err = code.New(code.OperatorInput, "operator: to: expected up to %d hours after from", maxReportHours)
	}
	return from, to, err
}

func hourOf(r *http.Request, name string) (time.Time, error) {
	s := r.URL.Query().Get(name)
	t, err := time.Parse(time.RFC3339, s)
	if err != nil {
		return t, code.Wrap(code.OperatorInput, err, "operator: %s", name)
	}
	if !t.Equal(t.Truncate(rollup.HourLength)) {
		return t, code.New(code.OperatorInput, "operator: %s: expected a full hour, found %s", name, s)
	}
	return t.UTC(), nil
}

// rollUpReader reads roll-ups from the platform.
type rollUpReader struct {
	kernel *core.Kernel
	lines  chan RollUpLine
	limit  *rate.Limiter
}

// read sends a line for everything that it can and cannot read, and closes the
// channel. It keeps no more than a few roll-ups in memory.
func (c *rollUpReader) read(ctx context.Context, from, to time.Time) {
	defer close(c.lines)
	c.readOwn(ctx, from, to)
	g := errgroup.Group{}
	g.SetLimit(rollUpReads)
	for t := from; t.Before(to); t = t.Add(rollup.HourLength) {
		// One failure tells of all later hours, so that a platform that hangs
		// does not hold up the page hour by hour.
		if !c.readHour(ctx, &g, t) {
			break
		}
	}
	_ = g.Wait()
	c.send(ctx, RollUpLine{
		End: true,
	})
}

// send hands over l, unless the operator has gone away.
func (c *rollUpReader) send(ctx context.Context, l RollUpLine) {
	select {
	case c.lines <- l:
	case <-ctx.Done():
	}
}

// readOwn gives what this host has not written yet, which may be newer than
// what the platform has.
func (c *rollUpReader) readOwn(ctx context.Context, from, to time.Time) {
	s, err := c.kernel.RollUps.Objects()
	if err != nil {
		c.problem(ctx, "This host's own roll-up cannot be read: %v.", err)
	}
	for _, o := range s {
		r, err := rollup.Decode(o.Data)
		if err != nil || r.Hour.Before(from) || !r.Hour.Before(to) {
			continue
		}
		c.send(ctx, RollUpLine{
			Roll: r,
		})
	}
}

// readHour reports whether the hour's roll-ups could be listed.
func (c *rollUpReader) readHour(ctx context.Context, g *errgroup.Group, hour time.Time) bool {
	if c.limit.Wait(ctx) != nil {
		return false
	}
	names, err := c.kernel.PluginFuncs.Store.ListObjects(ctx, rollup.HourPrefix(hour))
	if err != nil {
		c.problem(ctx, "The roll-ups from %s on cannot be listed: %s.", hour.Format(time.RFC3339), code.Text(err))
		return false
	}
	for _, n := range names {
		if c.limit.Wait(ctx) != nil {
			return false
		}
		g.Go(func() error {
			c.readObject(ctx, n)
			return nil
		})
	}
	return true
}

func (c *rollUpReader) readObject(ctx context.Context, name string) {
	b, err := c.kernel.PluginFuncs.Store.GetObject(ctx, name)
	if err != nil {
		c.problem(ctx, "The roll-up %s cannot be read: %s.", name, code.Text(err))
		return
	}
	r, err := rollup.Decode(b)
	if err != nil {
		c.problem(ctx, "The roll-up %s cannot be read: %v.", name, err)
		return
	}
	c.send(ctx, RollUpLine{
		Roll: r,
	})
}

func (c *rollUpReader) problem(ctx context.Context, format string, args ...any) {
	c.send(ctx, RollUpLine{
		Problem: fmt.Sprintf(format, args...),
	})
}
