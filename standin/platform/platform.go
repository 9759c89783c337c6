package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"goji.io"
	"goji.io/pat"

	"heatherford/core/store"
)

// Faults are the faults that a platform shows.
type Faults struct {
	// Down makes every call fail without effect.
	Down bool `json:"down"`
	// LoseAnswers makes every commit take effect and its answer get lost.
	LoseAnswers bool `json:"lose_answers"`
	// DelayMS delays every call.
	DelayMS int `json:"delay_ms"`
}

// Platform is a stand-in platform. It is safe for concurrent use.
type Platform struct {
	table *Table

	mu      sync.Mutex
	faults  Faults
	hosts   []store.Host
	objects map[string][]byte
}

// New returns a platform that lists the hosts.
func New(hosts []store.Host) *Platform {
	return &Platform{
		table:   NewTable(),
		hosts:   hosts,
		objects: map[string][]byte{},
	}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetHosts replaces the list of hosts.
func (p *Platform) SetHosts(hosts []store.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = hosts
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	m := goji.NewMux()
	m.HandleFunc(pat.Put("/faults"), p.serveFaults)
	m.HandleFunc(pat.Put("/hosts"), p.serveSetHosts)
	v := goji.SubMux()
	v.Use(p.withFaults)
	v.HandleFunc(pat.Post("/commit"), p.serveCommit)
	v.HandleFunc(pat.Post("/read"), p.serveRead)
	v.HandleFunc(pat.Get("/hosts"), p.serveHosts)
	v.HandleFunc(pat.Get("/objects"), p.serveList)
	v.HandleFunc(pat.Put("/objects/*"), p.servePut)
	v.HandleFunc(pat.Get("/objects/*"), p.serveGet)
	m.Handle(pat.New("/v1/*"), v)
	return m
}

func (p *Platform) current() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

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
	a, ok := p.table.Commit(t)
	if p.current().LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		http.Error(w, "a condition does not hold", http.StatusConflict)
		return
	}
	encode(w, a)
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	q := store.Query{}
	if !decode(w, r, &q) {
		return
	}
	encode(w, map[string]any{
		"rows": p.table.Read(q),
	})
}

func (p *Platform) serveHosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	encode(w, map[string]any{
		"hosts": p.hosts,
	})
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	p.mu.Lock()
	defer p.mu.Unlock()
	names := []string{}
	for n := range p.objects {
		if strings.HasPrefix(n, prefix) {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	encode(w, map[string]any{
		"names": names,
	})
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[objectName(r)] = b
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	b, ok := p.objects[objectName(r)]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Write(b)
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	f := Faults{}
	if decode(w, r, &f) {
		p.SetFaults(f)
	}
}

func (p *Platform) serveSetHosts(w http.ResponseWriter, r *http.Request) {
	h := []store.Host{}
	if decode(w, r, &h) {
		p.SetHosts(h)
	}
}

func objectName(r *http.Request) string {
	return strings.TrimPrefix(r.URL.Path, "/v1/objects/")
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func encode(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
