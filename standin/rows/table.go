package rows

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// headerEra is the header of every answer with the era.
const headerEra = "Store-Era"

// pageRows and pageBytes bound a page: its rows, and the bytes of their values. KeyBytes bounds
// a key.
const (
	pageRows  = 500
	pageBytes = 1 << 20
	keyBytes  = 200
)

// Row is a row as it is sent.
type Row struct {
	Table           string `json:"table"`
	Part            string `json:"part"`
	Key             string `json:"key"`
	Value           []byte `json:"value,omitempty"`
	ResourceVersion uint64 `json:"resourceVersion"`
	Removed         bool   `json:"removed,omitempty"`

	// encoded returns the row as it is sent, once it is stored. The first call encodes it.
	encoded func() []byte
}

// Faults are what the stand-in does wrong. The zero value is none.
type Faults struct {
	// Status is answered to every call, unless it is 0.
	Status int
	// Silent calls get no answer until the caller gives up.
	Silent bool
	// Lost calls are carried out and their connection is closed.
	Lost bool
	// Delay is the time before each answer.
	Delay time.Duration
	// PageRows bounds the rows of a page; 0 stands for 500.
	PageRows int
}

// Table is the stand-in. It is an http.Handler and safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]Row
	// forgotten is the version before which no history is left.
	forgotten uint64
	// era counts the returns from a copy, from 1 on.
	era     uint64
	changed chan struct{}
	faults  Faults
	calls   map[string]int
}

// New returns an empty table.
func New() *Table {
	return &Table{
		era:     1,
		rows:    map[string]Row{},
		changed: make(chan struct{}),
		calls:   map[string]int{},
	}
}

// Put writes a row.
func (t *Table) Put(table, key, value string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.write(Row{
		Table: table,
		Key:   key,
		Value: []byte(value),
	})
}

// Has reports whether a row exists.
func (t *Table) Has(table, key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[table+"\x00\x00"+key]
	return ok && !r.Removed
}

// Remove removes a row.
func (t *Table) Remove(table, key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.write(Row{
		Table:   table,
		Key:     key,
		Removed: true,
	})
}

// Forget drops the history.
func (t *Table) Forget() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	t.forgotten = t.version
}

// Copy is the content of a table at some moment.
type Copy struct {
	version uint64
	rows    map[string]Row
}

// Copy returns a copy of the table.
func (t *Table) Copy() *Copy {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &Copy{
		version: t.version,
		rows:    maps.Clone(t.rows),
	}
}

// Restore replaces the content by that of a copy and begins the next era. What was
// written since the copy is gone, and its versions are given out again. Waiting reads
// answer from the new content.
func (t *Table) Restore(c *Copy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.era++
	t.version = c.version
	t.rows = maps.Clone(c.rows)
	t.forgotten = min(t.forgotten, c.version)
	close(t.changed)
	t.changed = make(chan struct{})
}

// Set switches faults on or off.
func (t *Table) Set(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Calls returns the number of calls by path.
func (t *Table) Calls() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := map[string]int{}
	for k, v := range t.calls {
		m[k] = v
	}
	return m
}

// write stores a row under the next version. The caller holds mu.
func (t *Table) write(r Row) {
	t.version++
	r.ResourceVersion = t.version
	stored := r
	r.encoded = sync.OnceValue(func() []byte {
		b, err := json.Marshal(stored)
		if err != nil {
			panic(err)
		}
		return b
	})
	t.rows[r.Table+"\x00"+r.Part+"\x00"+r.Key] = r
	close(t.changed)
	t.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	t.calls[r.URL.Path]++
	f := t.faults
	t.mu.Unlock()
	select {
	case <-time.After(f.Delay):
	case <-r.Context().Done():
		return
	}
	t.mu.Lock()
	t.setEra(w)
	t.mu.Unlock()
	switch {
	case f.Silent:
		// The server notices the end of a connection only after the body.
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		<-r.Context().Done()
		return
	case f.Status != 0:
		w.WriteHeader(f.Status)
		return
	case f.Lost:
		w = &lost{
			ResponseWriter: w,
		}
		defer panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/rows-tx":
		t.transact(w, r)
	case "/rows-get":
		t.get(w, r)
	case "/rows-feed":
		t.feed(w, r)
	default:
		http.NotFound(w, r)
	}
}

// setEra states the era in an answer. The caller holds mu.
func (t *Table) setEra(w http.ResponseWriter) {
	w.Header().Set(headerEra, strconv.FormatUint(t.era, 10))
}

// lost drops an answer.
type lost struct {
	http.ResponseWriter
}

// Write implements io.Writer.
func (*lost) Write(b []byte) (int, error) {
	return len(b), nil
}

// WriteHeader implements http.ResponseWriter.
func (*lost) WriteHeader(int) {}

func (t *Table) transact(w http.ResponseWriter, r *http.Request) {
	x := struct {
		Expect []Row `json:"expect"`
		Writes []Row `json:"writes"`
		Remove []Row `json:"remove"`
	}{}
	if err := json.NewDecoder(r.Body).Decode(&x); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setEra(w)
	for _, e := range x.Expect {
		if t.rows[e.Table+"\x00"+e.Part+"\x00"+e.Key].ResourceVersion != e.ResourceVersion {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, e := range x.Writes {
		t.write(e)
	}
	for _, e := range x.Remove {
		e.Removed = true
		t.write(e)
	}
	json.NewEncoder(w).Encode(map[string]any{
		"resourceVersion": t.version,
		"now":             "1ms",
	})
}

func (t *Table) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if len(q.Get("from")) > keyBytes {
		http.Error(w, "from is too long", http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	most := pageRows
	if t.faults.PageRows > 0 {
		most = t.faults.PageRows
	}
	s := t.list(func(x *Row) bool {
		return x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && !x.Removed
	})
	sort.Slice(s, func(i, j int) bool {
		return s[i].Key < s[j].Key
	})
	n := 0
	for size := 0; n < min(most, len(s)); n++ {
		if size += len(s[n].Value); size > pageBytes && n > 0 {
			break
		}
	}
	t.setEra(w)
	version := t.version
	t.mu.Unlock()
	answer(w, s[:n], n < len(s), version)
}

func (t *Table) list(f func(x *Row) bool) []Row {
	s := []Row{}
	for _, x := range t.rows {
		if f(&x) {
			s = append(s, x)
		}
	}
	return s
}

// answer writes an answer row by row, as a store does that holds more than an answer.
func answer(w io.Writer, s []Row, more bool, version uint64) {
	io.WriteString(w, `{"rows":[`)
	for i, x := range s {
		if i > 0 {
			io.WriteString(w, ",")
		}
		if _, err := w.Write(x.encoded()); err != nil {
			return
		}
	}
	fmt.Fprintf(w, `],"hasMore":%t,"resourceVersion":%d,"now":"1ms"}`, more, version)
}

func (t *Table) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for end := false; ; {
		t.mu.Lock()
		t.setEra(w)
		if after < t.forgotten || after > t.version {
			t.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		s := t.list(func(x *Row) bool {
			return x.Table == q.Get("table") && x.ResourceVersion > after
		})
		if len(s) > 0 || end {
			sort.Slice(s, func(i, j int) bool {
				return s[i].ResourceVersion < s[j].ResourceVersion
			})
			version := t.version
			t.mu.Unlock()
			answer(w, s, false, version)
			return
		}
		changed := t.changed
		t.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			end = true
		case <-r.Context().Done():
			return
		}
	}
}
