package platform

import (
	"sort"
	"strings"
	"sync"

	"heatherford/core/store"
)

// Table is a transactional table in memory. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// version grows by one with every commit.
	version uint64
	rows    map[string]store.Row
	commits int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		rows: map[string]store.Row{},
	}
}

// Commit applies t whole or not at all and reports whether it did.
func (t *Table) Commit(x store.Transaction) (store.Committed, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range x.Conditions {
		if t.rows[c.Key].Version != c.Version {
			return store.Committed{}, false
		}
	}
	t.version++
	t.commits++
	for _, w := range x.Writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = store.Row{
			Key:     w.Key,
			Value:   w.Value,
			Version: t.version,
		}
	}
	return store.Committed{
		Version: t.version,
	}, true
}

// Read returns the rows that q names, ordered by key.
func (t *Table) Read(q store.Query) []store.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := []store.Row{}
	for k, r := range t.rows {
		if matches(q, k) {
			s = append(s, r)
		}
	}
	sort.Slice(s, func(i, j int) bool {
		return s[i].Key < s[j].Key
	})
	return s
}

func matches(q store.Query, key string) bool {
	for _, k := range q.Keys {
		if k == key {
			return true
		}
	}
	for _, p := range q.Prefixes {
		if strings.HasPrefix(key, p) {
			return true
		}
	}
	return false
}
