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

// Platform is a stand-in platform. It is safe for concurrent use.
type Platform struct {
	table *Table

	mu     sync.Mutex
	faults Faults
	hosts  []store.Host
	// coming are later lists of hosts, in order.
	coming  []comingHosts
	objects map[string][]byte
	counts  Counts
	// held are commits that arrive once HoldCommits ends.
	held []store.Transaction
}

// New returns a platform that lists the hosts.
func New(hosts []store.Host) *Platform {
	return &Platform{
		table:   NewTable(),
		hosts:   hosts,
		objects: map[string][]byte{},
	}
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	m := goji.NewMux()
	m.HandleFunc(pat.Put("/faults"), p.serveFaults)
	m.HandleFunc(pat.Put("/hosts"), p.serveSetHosts)
	m.HandleFunc(pat.Get("/counts"), p.serveCounts)
	v := goji.SubMux()
	v.Use(p.withFaults)
	v.HandleFunc(pat.Post("/commit"), p.serveCommit)
	v.HandleFunc(pat.Post("/read"), p.serveRead)
	v.HandleFunc(pat.Get("/hosts"), p.serveHosts)
	v.HandleFunc(pat.Get("/objects"), p.serveList)
	v.HandleFunc(pat.Put("/objects/*"), p.servePut)
	v.HandleFunc(pat.Get("/objects/*"), p.serveGet)
	m.Handle(pat.New("/v1/*"), v)
	return p.observed(m)
}

func (p *Platform) current() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	q := store.Query{}
	if !decode(w, r, &q) {
		return
	}
	rows := p.table.Read(q)
	p.countRead(rows)
	encode(w, map[string]any{
		"rows": rows,
	})
}

func (p *Platform) serveHosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	p.settleHosts(time.Now())
	p.counts.ListReads++
	hosts := p.hosts
	p.mu.Unlock()
	encode(w, map[string]any{
		"hosts": hosts,
	})
}

func (p *Platform) serveCounts(w http.ResponseWriter, _ *http.Request) {
	encode(w, p.Counts())
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
	p.counts.Puts++
	p.counts.BytesWritten += int64(len(b))
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
