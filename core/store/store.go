package store

import (
	"context"
	"net/netip"
)

// Store is the platform as the kernel uses it. An adapter sets every field.
// All functions are safe for concurrent use and end soon after their context.
//
// Errors carry a code: PlatformDown when the call had no effect,
// PlatformUnknown when a write may have taken effect, PlatformConflict when a
// condition did not hold, and ObjectMissing.
type Store struct {
	// Commit applies all writes of t if all its conditions hold, else none.
	Commit func(ctx context.Context, t Transaction) (Committed, error)
	// Read returns the rows with the keys and prefixes of q at one point in
	// time, ordered by key. A key without a row is left out.
	Read func(ctx context.Context, q Query) ([]Row, error)
	// PutObject stores an object whole, replacing one of the same name.
	PutObject func(ctx context.Context, name string, data []byte) error
	// GetObject returns an object.
	GetObject func(ctx context.Context, name string) ([]byte, error)
	// ListObjects returns the names that start with prefix, ordered.
	ListObjects func(ctx context.Context, prefix string) ([]string, error)
	// Hosts returns the platform's list of hosts, which lags.
	Hosts func(ctx context.Context) ([]Host, error)
}

// Row is one row of the table.
type Row struct {
	Key string `json:"key"`
	// Value is opaque to the platform.
	Value []byte `json:"value"`
	// Version grows with every write of the row, also over a deletion. It is
	// never zero in a row that exists.
	Version uint64 `json:"version"`
}

// Condition holds if the row's version is Version; zero means that the row
// does not exist.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write replaces a row's value or, with Delete, removes the row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction is a set of writes that takes effect whole or not at all.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Committed is the answer to a transaction that took effect.
type Committed struct {
	// Version is the new version of every row that was written.
	Version uint64 `json:"version"`
}

// Query names rows by key and by prefix.
type Query struct {
	Keys     []string `json:"keys,omitempty"`
	Prefixes []string `json:"prefixes,omitempty"`
}

// HostState is a host's state in the platform's list.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is an entry of the platform's list of hosts.
type Host struct {
	Name   string    `json:"name"`
	Zone   string    `json:"availability_zone"`
	Region string    `json:"region"`
	State  HostState `json:"state"`
	// CallerAddress is where callers reach the host.
	CallerAddress netip.AddrPort `json:"caller_address"`
	// PeerAddress is where other hosts reach it.
	PeerAddress netip.AddrPort `json:"peer_address"`
}
