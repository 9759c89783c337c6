package store

import (
	"context"
	"net/netip"
)

// Store holds the functions of the platform that the kernel uses. An adapter sets
// every field. All functions are safe for concurrent use and return soon after
// their context ends.
//
// Errors carry a code: PlatformDown if the call had no effect, PlatformUnknown if
// a write may have taken effect, PlatformConflict if a condition did not hold,
// and ObjectMissing if the object does not exist.
type Store struct {
	// Commit applies all writes of t if all its conditions hold, and otherwise
	// none.
	Commit func(ctx context.Context, t Transaction) (Committed, error)
	// Read returns the rows that match the keys and prefixes of q as of one point
	// in time, ordered by key. Keys without a row are left out.
	Read func(ctx context.Context, q Query) ([]Row, error)
	// PutObject stores an object atomically and replaces one of the same name.
	PutObject func(ctx context.Context, name string, data []byte) error
	// GetObject returns the content of an object.
	GetObject func(ctx context.Context, name string) ([]byte, error)
	// ListObjects returns the sorted names that start with prefix.
	ListObjects func(ctx context.Context, prefix string) ([]string, error)
	// Hosts returns the platform's list of hosts, which may be out of date.
	Hosts func(ctx context.Context) ([]Host, error)
}

// Row is one row of the table.
type Row struct {
	Key string `json:"key"`
	// Value is opaque to the platform.
	Value []byte `json:"value"`
	// Version grows with every write of the row, even if the row was deleted in
	// between. It is never zero in a row that exists.
	Version uint64 `json:"version"`
}

// Condition holds if the row's version is Version. Zero means that the row must
// not exist.
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

// Transaction is a set of writes that takes effect as a whole or not at all.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Committed is the result of a transaction that took effect.
type Committed struct {
	// Version is the new version of each row that was written.
	Version uint64 `json:"version"`
}

// Query selects rows by key and by prefix.
type Query struct {
	Keys     []string `json:"keys,omitempty"`
	Prefixes []string `json:"prefixes,omitempty"`
}

// HostState is the state of a host in the platform's list.
type HostState string

// States of a host.
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
	// CallerAddress is the address for requests of callers.
	CallerAddress netip.AddrPort `json:"caller_address"`
	// PeerAddress is the address for calls of other hosts.
	PeerAddress netip.AddrPort `json:"peer_address"`
}
