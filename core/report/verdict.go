package report

import (
	"fmt"
	"strings"
	"time"

	"heatherford/core/strict"
	"heatherford/core/timeline"
)

const (
	// changeTarget is how long a change may take until it is in force
	// everywhere.
	changeTarget = 19 * time.Second
	percent      = 100
)

// judge fills in the reasons, the notes and the verdict.
func (b *builder) judge() {
	b.judgeRanks()
	b.judgeKinds()
	b.judgeLoads("Region", b.report.Regions)
	b.judgeLoads("Shift", b.report.ShiftLoads)
	b.judgeLoads("Link", b.report.LinkLoads)
	b.judgeChanges()
	b.judgeSpans()
	b.note()
	r := b.report
	switch {
	case len(r.Reasons) > 0:
		r.Verdict = WentBadly
	case r.Hosts == 0 || len(r.Missing) > 0:
		r.Verdict = NotKnown
	default:
		r.Verdict = WentWell
	}
	r.Headline = b.headline()
}

func (b *builder) because(format string, args ...any) {
	b.report.Reasons = append(b.report.Reasons, fmt.Sprintf(format, args...))
}

func (b *builder) judgeRanks() {
	for _, r := range b.report.Ranks {
		if r.Target > 0 && r.Share != nil && *r.Share < r.Target {
			b.because("Rank %s: %s of its requests were answered correctly in time, the target is %s.",
				r.Name, percentText(*r.Share), percentText(r.Target))
		}
	}
}

func (b *builder) judgeKinds() {
	for _, k := range b.report.Kinds {
		if !k.Repeatable && k.Unknown > 0 {
			b.because("Kind %s: the outcome of %s is unknown, of work that may not be repeated.", k.Name, count(k.Unknown, "request"))
		}
	}
}

func (b *builder) judgeLoads(what string, loads []Load) {
	for _, r := range loads {
		if r.Headroom < 0 {
			b.because("%s %s: up to %s in flight at %s, the cap is %d.",
				what, r.Name, count(uint64(r.Peak), "request"), b.clock(r.PeakAt), r.Cap)
		}
	}
}

func (b *builder) judgeChanges() {
	for _, c := range b.report.Changes {
		if len(c.Without) > 0 {
			b.because("Version %d never came in force at %s.", c.Version, strings.Join(c.Without, ", "))
		}
		if d, ok := c.Took(); ok && d > changeTarget {
			b.because("Version %d took %s until it was in force everywhere, the target is %s.",
				c.Version, durationText(d), durationText(changeTarget))
		}
		if len(c.Unknown) > 0 {
			b.miss(fmt.Sprintf("Version %d: whether it came in force at %s is not known, since their counts end before.",
				c.Version, strings.Join(c.Unknown, ", ")))
		}
		if c.ConfirmedAt.IsZero() {
			b.miss(fmt.Sprintf("Version %d: when it was confirmed is not known.", c.Version))
		}
	}
}

func (b *builder) judgeSpans() {
	for _, s := range b.report.Drains {
		if s.Failed {
			b.because("%s: %s.", spanName(s), s.Text)
		}
	}
	for _, s := range b.report.Shifts {
		if s.Failed {
			b.because("%s: %s.", spanName(s), s.Text)
		}
	}
}

func (b *builder) note() {
	r := b.report
	if b.in.Now.Before(b.in.To) {
		r.Notes = append(r.Notes, fmt.Sprintf("The day is not over: the figures go to %s.", b.clock(b.in.Now)))
	}
	targets := 0
	for _, k := range r.Ranks {
		if k.Target > 0 {
			targets++
		}
	}
	if len(r.Ranks) > 0 && targets == 0 {
		r.Notes = append(r.Notes, "No rank has a target, so the shares of correct answers say nothing of how the day went.")
	}
	if len(r.Regions) > 0 {
		r.Notes = append(r.Notes, "Peaks are of samples that all hosts take each 5 s, by their own clocks; shorter ones may be missing.")
	}
	if len(r.Outages) > 0 {
		r.Notes = append(r.Notes, "In an outage of the platform the hosts keep their counts and write them afterwards; what is not here is listed as missing.")
	}
	if len(r.Changes) > 0 {
		r.Notes = append(r.Notes, "Times until everywhere are taken from the hosts' own clocks.")
	}
}

func (b *builder) headline() string {
	r := b.report
	switch {
	case r.Hosts == 0:
		return fmt.Sprintf("Whether %s went well is not known: no host's counts can be read.", r.Day)
	case r.Verdict == WentBadly && len(r.Missing) > 0:
		return fmt.Sprintf("%s did not go well, and some of it is not known: %s", r.Day, r.Reasons[0])
	case r.Verdict == WentBadly:
		return fmt.Sprintf("%s did not go well: %s", r.Day, r.Reasons[0])
	case r.Verdict == NotKnown:
		return fmt.Sprintf("%s went well as far as is known, but some of it is missing: %s", r.Day, r.Missing[0])
	default:
		return fmt.Sprintf("%s went well: %s.", r.Day, b.praise())
	}
}

// praise says on what a good day rests.
func (b *builder) praise() string {
	asked, correct := uint64(0), uint64(0)
	for _, k := range b.report.Kinds {
		asked += k.Asked
		correct += k.Correct
	}
	if asked == 0 {
		return "no requests came, and nothing failed"
	}
	f := float64(correct) / float64(asked)
	return fmt.Sprintf("%s of %d requests were answered correctly in time", percentText(f), asked)
}

func spanName(s Span) string {
	n := map[timeline.Kind]string{
		timeline.KindDrain:    "Drain",
		timeline.KindShift:    "Shift",
		timeline.KindStop:     "Stop",
		timeline.KindMember:   "Host",
		timeline.KindPlatform: "Platform",
	}[s.Kind]
	if n == "" {
		n = string(s.Kind)
	}
	if s.Subject == "" {
		return n
	}
	return n + " " + s.Subject
}

// count writes n things.
func count(n uint64, thing string) string {
	if n == 1 {
		return "1 " + thing
	}
	return fmt.Sprintf("%d %ss", n, thing)
}

// percentText writes a share so that only all of it is written as 100%.
func percentText(f float64) string {
	s := fmt.Sprintf("%.2f%%", f*percent)
	if f < 1 && s == "100.00%" {
		return "over 99.99%"
	}
	return strings.Replace(s, ".00%", "%", 1)
}

// durationText writes d to about three figures.
func durationText(d time.Duration) string {
	switch {
	case d >= 10*time.Second:
		return d.Round(time.Second).String()
	case d >= time.Second:
		return d.Round(10 * time.Millisecond).String()
	case d >= 10*time.Millisecond:
		return d.Round(time.Millisecond).String()
	default:
		return d.Round(10 * time.Microsecond).String()
	}
}

func latencyText(d *strict.Duration) string {
	if d == nil {
		return "none"
	}
	return durationText(d.Std())
}
