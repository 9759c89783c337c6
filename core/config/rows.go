package config

import (
	"encoding/json"
	"fmt"

	"heatherford/core/code"
	"heatherford/core/intent"
	"heatherford/core/store"
)

// Keys of the table.
const (
	headKey         = "config/head"
	partPrefix      = "config/part/"
	historyPrefix   = "config/history/"
	undoPrefix      = "config/undo/"
	operationPrefix = "config/operation/"
)

// keptVersions is how many versions can be rolled back to and are listed.
const keptVersions = 10000

// Entry is the history of one version. It is also the value of the head.
type Entry struct {
	Meta
	// Generation names the set of rows that holds the version's parts. It is
	// empty for the first.
	Generation string `json:"generation,omitempty"`
	// Generations is the number of generations before, and Previous the last of
	// them.
	Generations int    `json:"generations,omitempty"`
	Previous    string `json:"previous,omitempty"`
	// Whole is true if the version began its generation: all its parts were
	// written beforehand, and Changed and Removed are empty.
	Whole bool `json:"whole,omitempty"`
	// Reason says why the version was made, such as "drain of endpoint desk-1".
	Reason string `json:"reason"`
	// Changes are the first changes from the version before.
	Changes []intent.Change `json:"changes"`
	// More is the number of changes that are not in Changes.
	More int `json:"more,omitempty"`
	// Changed and Removed name the parts that differ from the version before.
	Changed []string `json:"changed"`
	Removed []string `json:"removed,omitempty"`
}

// undo restores the version before one.
type undo struct {
	// Parts are the parts that the version changed, as they were before.
	Parts []Part `json:"parts"`
	// Added names the parts that the version added.
	Added []string `json:"added,omitempty"`
	// Whole is true if the version began a generation. The version before is
	// that which Generation still holds.
	Whole      bool   `json:"whole,omitempty"`
	Generation string `json:"generation,omitempty"`
}

// operation is how a confirmation ended.
type operation struct {
	// Number is the version that it made, or 0 if it was refused for good.
	Number uint64 `json:"version"`
}

// partsPrefix starts the keys of the parts of a generation.
func partsPrefix(generation string) string {
	return partPrefix + generation + "/"
}

func historyKey(number uint64) string {
	return fmt.Sprintf("%s%012d", historyPrefix, number)
}

func undoKey(number uint64) string {
	return fmt.Sprintf("%s%012d", undoPrefix, number)
}

func write(key string, v any) (store.Write, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return store.Write{}, code.Wrap(code.DeclarationInvalid, err, "config: cannot encode row %q", key)
	}
	return store.Write{
		Key:   key,
		Value: b,
	}, nil
}

// rowSet is the answer to a read, by key.
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
