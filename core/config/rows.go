package config

import (
	"encoding/json"
	"fmt"

	"heatherford/core/code"
	"heatherford/core/intent"
	"heatherford/core/store"
)

// Keys and prefixes of keys in the table.
const (
	headKey         = "config/head"
	partKeyPrefix   = "config/part/"
	historyPrefix   = "config/history/"
	undoPrefix      = "config/undo/"
	operationPrefix = "config/operation/"
)

// keptVersions is the number of versions that the history keeps and that can be
// rolled back to.
const keptVersions = 10000

// HistoryEntry is the entry of one version in the history. The head row holds the
// newest one.
type HistoryEntry struct {
	Meta
	// Generation names the set of rows that holds the version's parts. It is
	// empty for the first generation.
	Generation string `json:"generation,omitempty"`
	// Generations is the number of earlier generations, Previous the last of
	// them.
	Generations int    `json:"generations,omitempty"`
	Previous    string `json:"previous,omitempty"`
	// Full is true if the version began its generation. All its parts were then
	// written before the transaction, and Changed and Removed are empty.
	Full bool `json:"whole,omitempty"`
	// Reason says why the version was made, such as "drain of endpoint desk-1".
	Reason string `json:"reason"`
	// Changes are the first changes relative to the previous version.
	Changes []intent.Change `json:"changes"`
	// More is the number of further changes that Changes leaves out.
	More int `json:"more,omitempty"`
	// Changed and Removed name the parts that differ from the previous version.
	Changed []string `json:"changed"`
	Removed []string `json:"removed,omitempty"`
}

// undo is the row that restores the version before the one it belongs to.
type undo struct {
	// Parts are the parts that the version changed or removed, with their
	// previous data.
	Parts []Part `json:"parts"`
	// Added names the parts that the version added.
	Added []string `json:"added,omitempty"`
	// Full is true if the version began a generation. The previous version's
	// parts are then the rows of Generation.
	Full       bool   `json:"whole,omitempty"`
	Generation string `json:"generation,omitempty"`
}

// outcome is how a confirmation ended.
type outcome struct {
	// Number is the version that the confirmation made, or 0 if it was refused
	// and will never take effect.
	Number uint64 `json:"version"`
}

// generationPrefix returns the prefix of the keys of a generation's parts.
func generationPrefix(generation string) string {
	return partKeyPrefix + generation + "/"
}

func historyKey(number uint64) string {
	return fmt.Sprintf("%s%012d", historyPrefix, number)
}

func undoKey(number uint64) string {
	return fmt.Sprintf("%s%012d", undoPrefix, number)
}

func newWrite(key string, v any) (store.Write, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return store.Write{}, code.Wrap(code.DeclarationInvalid, err, "config: cannot encode row %q", key)
	}
	return store.Write{
		Key:   key,
		Value: b,
	}, nil
}

// rowSet holds the rows of one read by key.
type rowSet map[string]store.Row

func newRowSet(s []store.Row) rowSet {
	m := rowSet{}
	for _, r := range s {
		m[r.Key] = r
	}
	return m
}

// decode parses the row's value into v and reports whether the row exists.
func (m rowSet) decode(key string, v any) (bool, error) {
	r, ok := m[key]
	if !ok {
		return false, nil
	}
	if err := json.Unmarshal(r.Value, v); err != nil {
		return true, code.Wrap(code.DeclarationInvalid, err, "config: cannot decode row %q", key)
	}
	return true, nil
}
