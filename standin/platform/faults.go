package platform

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"heatherford/core/store"
)

// Faults are the faults that a platform shows.
type Faults struct {
	// Down makes every call fail without effect.
	Down bool `json:"down"`
	// LoseAnswers makes every commit take effect and its answer get lost.
	LoseAnswers bool `json:"lose_answers"`
	// DropCommits makes every commit take no effect and its answer get lost.
	DropCommits bool `json:"drop_commits"`
	// HoldCommits is DropCommits, but the commits arrive once the fault ends.
	HoldCommits bool `json:"hold_commits"`
	// LoseNext makes only the next commit take effect with its answer lost,
	// and the platform go down right after.
	LoseNext bool `json:"lose_next"`
	// DownAfterCommit makes the platform go down right after the next commit,
	// which is answered.
	DownAfterCommit bool `json:"down_after_commit"`
	// ForKeys bounds the faults of commits to those that write a key with the
	// prefix.
	ForKeys string `json:"for_keys"`
	// DelayMS delays every call.
	DelayMS int `json:"delay_ms"`
	// ListLagMS is how long a change of the list of hosts stays unseen.
	ListLagMS int `json:"list_lag_ms"`
	// CutHosts are the hosts that cannot reach the platform. A host says who
	// it is by the prefix /as/NAME of its URL.
	CutHosts []string `json:"cut_hosts"`
}

// Counts are what a platform has done.
type Counts struct {
	Commits      int   `json:"commits"`
	Reads        int   `json:"reads"`
	ListReads    int   `json:"list_reads"`
	Puts         int   `json:"puts"`
	BytesRead    int64 `json:"bytes_read"`
	BytesWritten int64 `json:"bytes_written"`
}

const observerPrefix = "/as/"

// observed serves calls whose path names the host that makes them.
func (p *Platform) observed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rest, ok := strings.CutPrefix(r.URL.Path, observerPrefix)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		name, _, _ := strings.Cut(rest, "/")
		if slices.Contains(p.current().CutHosts, name) {
			panic(http.ErrAbortHandler)
		}
		http.StripPrefix(observerPrefix+name, next).ServeHTTP(w, r)
	})
}

// withFaults delays and refuses calls as the faults say.
func (p *Platform) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := p.current()
		if f.DelayMS > 0 {
			select {
			case <-time.After(time.Duration(f.DelayMS) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
		if f.Down {
			http.Error(w, "the platform is down", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (p *Platform) serveCommit(w http.ResponseWriter, r *http.Request) {
	t := store.Transaction{}
	if !decode(w, r, &t) {
		return
	}
	f := Faults{}
	if p.concerned(t) {
		f = p.beforeCommit(t)
	}
	if f.DropCommits || f.HoldCommits {
		panic(http.ErrAbortHandler)
	}
	a, ok := p.table.Commit(t)
	p.countCommit(t)
	if f.LoseAnswers || f.LoseNext {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		http.Error(w, "a condition does not hold", http.StatusConflict)
		return
	}
	encode(w, a)
}

// concerned reports whether the faults of commits are for t.
func (p *Platform) concerned(t store.Transaction) bool {
	prefix := p.current().ForKeys
	for _, w := range t.Writes {
		if strings.HasPrefix(w.Key, prefix) {
			return true
		}
	}
	return false
}

// beforeCommit returns the faults for a commit, of which some hold only once.
func (p *Platform) beforeCommit(t store.Transaction) Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faults
	if f.LoseNext || f.DownAfterCommit {
		p.faults.LoseNext = false
		p.faults.DownAfterCommit = false
		p.faults.Down = true
	}
	if f.HoldCommits {
		p.held = append(p.held, t)
	}
	return f
}

func (p *Platform) countCommit(t store.Transaction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Commits++
	for _, w := range t.Writes {
		p.counts.BytesWritten += int64(len(w.Value))
	}
}

func (p *Platform) countRead(rows []store.Row) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Reads++
	for _, r := range rows {
		p.counts.BytesRead += int64(len(r.Value))
	}
}

// SetFaults replaces the faults. Commits that were held back arrive if they are
// held back no more.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	held := p.held
	p.faults = f
	if f.HoldCommits {
		held = nil
	} else {
		p.held = nil
	}
	p.mu.Unlock()
	for _, t := range held {
		p.table.Commit(t)
	}
}

// SetHosts replaces the list of hosts, which shows after the list's lag.
func (p *Platform) SetHosts(hosts []store.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settleHosts(time.Now())
	p.coming = append(p.coming, comingHosts{
		hosts: hosts,
		at:    time.Now().Add(time.Duration(p.faults.ListLagMS) * time.Millisecond),
	})
	p.settleHosts(time.Now())
}

// comingHosts is a list of hosts that shows at a time.
type comingHosts struct {
	hosts []store.Host
	at    time.Time
}

// settleHosts shows the lists whose time has come. The caller holds the lock.
func (p *Platform) settleHosts(now time.Time) {
	for len(p.coming) > 0 && !now.Before(p.coming[0].at) {
		p.hosts = p.coming[0].hosts
		p.coming = p.coming[1:]
	}
}

// Counts returns what the platform has done.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}
