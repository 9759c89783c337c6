package edge

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/fleet"
)

// TestRestartsAreLogged guards against hosts that end by themselves unnoticed: others say
// when a host is back as another process and had not left.
func TestRestartsAreLogged(t *testing.T) {
	states := []any{}
	c := &control{
		fleet: fleet.New(fleet.Member{
			Name: "self",
			Zone: "z1",
		}),
		seen:       map[string]fleet.Member{},
		hostStates: map[string]hostState{},
		edge: &shared{
			options: Options{
				Log: func(_ string, pairs ...any) {
					states = append(states, pairs[len(pairs)-1])
				},
			},
		},
	}
	now := time.Now()
	m := fleet.Member{
		Name:    "a",
		Zone:    "z1",
		Started: now,
	}
	c.live = c.fleet.Live(now)
	at := now
	heard := func(m fleet.Member, after time.Duration) {
		at = at.Add(after)
		c.updateLive(at)
		c.fleet.RecordHeartbeat(m, at)
		c.updateLive(at)
	}
	heard(m, 0)
	// At once, and after a silence.
	m.Started = m.Started.Add(time.Second)
	heard(m, 100*time.Millisecond)
	m.Started = m.Started.Add(time.Second)
	heard(m, 5*time.Second)
	// The same process after a silence, and another one after a planned stop.
	heard(m, 5*time.Second)
	m.Leaving = true
	heard(m, 100*time.Millisecond)
	m.Leaving = false
	m.Started = m.Started.Add(time.Second)
	heard(m, 5*time.Second)
	qt.Check(t, states, qt.DeepEquals, []any{
		"live", "restarted", "silent", "restarted", "silent", "live", "leaving", "silent", "live",
	})
}
