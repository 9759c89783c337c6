package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"heatherford/core/intent"
	"heatherford/core/lookup"
	"heatherford/core/store"
)

// fragments are the parts of look-ups' answers that depend on the table alone.
// They are immutable.
type fragments struct {
	table *lookup.Table
	hosts map[*store.Host][]byte
	kinds map[*intent.Kind][]byte
}

// writer writes the answers to look-ups without a ticket. It is safe for
// concurrent use; its answers are what encoding/json makes of a Lookup.
type writer struct {
	ttl          time.Duration
	cacheControl []string
	fragments    atomic.Pointer[fragments]
	expires      atomic.Pointer[expires]
}

// expires is an Expires header, which changes once a second.
type expires struct {
	second int64
	header []string
}

var jsonType = []string{"application/json"}

func newWriter(ttl time.Duration) *writer {
	w := &writer{
		ttl:          ttl,
		cacheControl: []string{cacheControl(ttl)},
	}
	w.expires.Store(&expires{})
	w.fragments.Store(&fragments{})
	return w
}

// cacheControl returns the header for answers that may be cached.
func cacheControl(ttl time.Duration) string {
	return "private, max-age=" + strconv.Itoa(int(ttl.Seconds()))
}

// write answers with d, decided by the table of a version at the time now.
func (w *writer) write(out http.ResponseWriter, now time.Time, version uint64, t *lookup.Table, d lookup.Decision) {
	e := now.Add(w.ttl).UTC()
	f := w.of(t)
	b := make([]byte, 0, answerBytes)
	b = append(b, f.kind(d.Kind)...)
	b = strconv.AppendUint(b, version, 10)
	b = append(b, `,"hosts":[`...)
	b = append(b, f.host(d.Host)...)
	for _, h := range d.Alternates {
		if h != nil {
			b = append(b, ',')
			b = append(b, f.host(h)...)
		}
	}
	b = append(b, `],"expires_at":"`...)
	b = e.AppendFormat(b, time.RFC3339Nano)
	b = append(b, "\"}\n"...)
	h := out.Header()
	h["Content-Type"] = jsonType
	h["Cache-Control"] = w.cacheControl
	h["Expires"] = w.expiresAt(e)
	out.Write(b)
}

// answerBytes is the space for an answer; a longer one takes more.
const answerBytes = 512

// of returns the fragments of a table.
func (w *writer) of(t *lookup.Table) *fragments {
	f := w.fragments.Load()
	if f.table == t {
		return f
	}
	f = &fragments{
		table: t,
		hosts: map[*store.Host][]byte{},
		kinds: map[*intent.Kind][]byte{},
	}
	for _, h := range t.Hosts() {
		f.hosts[h] = encodeHost(h)
	}
	for _, k := range t.Kinds() {
		f.kinds[k] = encodeKind(k)
	}
	w.fragments.Store(f)
	return f
}

func (f *fragments) host(h *store.Host) []byte {
	if b, ok := f.hosts[h]; ok {
		return b
	}
	return encodeHost(h)
}

func (f *fragments) kind(k *intent.Kind) []byte {
	if b, ok := f.kinds[k]; ok {
		return b
	}
	return encodeKind(k)
}

func encodeHost(h *store.Host) []byte {
	// Strings and addresses can always be encoded.
	b, _ := json.Marshal(lookupHost(h))
	return b
}

// encodeKind returns the beginning of an answer up to the version.
func encodeKind(k *intent.Kind) []byte {
	b, _ := json.Marshal(struct {
		Kind string `json:"kind"`
		Rank string `json:"rank"`
	}{
		Kind: k.Name,
		Rank: k.Rank,
	})
	return []byte(strings.TrimSuffix(string(b), "}") + `,"version":`)
}

func (w *writer) expiresAt(t time.Time) []string {
	e := w.expires.Load()
	if e.second != t.Unix() {
		e = &expires{
			second: t.Unix(),
			header: []string{t.Format(http.TimeFormat)},
		}
		w.expires.Store(e)
	}
	return e.header
}

// query returns the values of kind and caller in a query. Others are ignored.
func query(r *http.Request) (kind, caller string) {
	if strings.ContainsAny(r.URL.RawQuery, "%+;") {
		q := r.URL.Query()
		return q.Get("kind"), q.Get("caller")
	}
	rest := r.URL.RawQuery
	for rest != "" {
		pair := ""
		pair, rest, _ = strings.Cut(rest, "&")
		name, value, _ := strings.Cut(pair, "=")
		switch {
		case name == "kind" && kind == "":
			kind = value
		case name == "caller" && caller == "":
			caller = value
		}
	}
	return kind, caller
}
