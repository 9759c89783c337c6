package grant

import (
	"encoding/json"
	"strings"

	"heatherford/core/code"
	"heatherford/core/quota"
	"heatherford/core/strict"
)

// RowPrefix starts the keys of all rows; the endpoint's name follows.
const RowPrefix = "grant/"

// RowKey returns the key of the endpoint's row.
func RowKey(endpoint string) string {
	return RowPrefix + endpoint
}

// Row is the grant of one endpoint as the platform's table holds it.
//
// It holds durations rather than deadlines: no host knows another's clock, so each
// counts from an event that it observed itself.
type Row struct {
	Endpoint string `json:"endpoint"`
	// Owner is the host that may send to the endpoint, and Incarnation the run of its
	// daemon.
	Owner       string `json:"owner"`
	Incarnation string `json:"incarnation"`
	// Standby is the host that takes over after the owner's death, or empty.
	Standby string `json:"standby,omitempty"`
	// Epoch grows by one with every change of the owner.
	Epoch uint64 `json:"epoch"`
	// Renewal numbers the writes of one incarnation. By it the incarnation recognizes
	// its own write if the answer to the commit was lost.
	Renewal uint64 `json:"renewal"`
	// Term is the length of the lease.
	Term strict.Duration `json:"term"`
	// MaxDuration is how long a request may take at most.
	MaxDuration strict.Duration `json:"longest"`
	// BeyondLease bounds the requests that may outlast the lease, that is whose deadline
	// is after its end. It covers the reduced limits that the owner keeps without a
	// lease.
	BeyondLease quota.Limits `json:"lasting"`
	// Version is the version of the declaration that Limits comply with.
	Version uint64 `json:"version"`
	// Limits are divided among the owner and the reservations.
	Limits quota.Limits `json:"limits"`
	// Reserved are the limits that other hosts may still use. There is at most one
	// entry for each host and incarnation.
	Reserved []Reservation `json:"reserved,omitempty"`
}

// Reservation holds limits that a host other than the owner may use. It ends after
// the host has acknowledged that it no longer uses them, or has left the
// platform's list.
type Reservation struct {
	Host string `json:"host"`
	// Incarnation is empty if the owner does not know it.
	Incarnation string       `json:"incarnation,omitempty"`
	Limits      quota.Limits `json:"limits"`
	// Later is what remains of Limits once the requests that outlasted the lease have
	// ended. It is nil if that has happened or there were none.
	Later *quota.Limits `json:"later,omitempty"`
	// Serial numbers the cession that the limits come from. It is 0 for the limits of
	// an earlier owner or standby.
	Serial uint64 `json:"serial,omitempty"`
}

// reservationKey identifies a reservation of one row.
type reservationKey struct {
	host        string
	incarnation string
	serial      uint64
}

func (v *Reservation) key() reservationKey {
	return reservationKey{
		host:        v.Host,
		incarnation: v.Incarnation,
		serial:      v.Serial,
	}
}

// OwnerLimits returns the limits that remain for the owner while its lease is valid.
func (r *Row) OwnerLimits() quota.Limits {
	l := r.Limits
	for _, v := range r.Reserved {
		l = l.Minus(v.Limits)
	}
	return l
}

// ownerLimitsLater returns the limits that remain for the owner once the requests
// that outlasted earlier owners' leases have ended.
func (r *Row) ownerLimitsLater() quota.Limits {
	l := r.Limits
	for _, v := range r.Reserved {
		if v.Later != nil {
			v.Limits = *v.Later
		}
		l = l.Minus(v.Limits)
	}
	return l
}

// reserved returns the sum of the reservations.
func (r *Row) reserved() quota.Limits {
	return sumLimits(r.Reserved)
}

func sumLimits(s []Reservation) quota.Limits {
	l := quota.Limits{}
	for _, v := range s {
		l = l.Plus(v.Limits)
	}
	return l
}

func (r *Row) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		// A row has no value that JSON cannot encode.
		panic(err)
	}
	return b
}

func decode(key string, value []byte) (Row, error) {
	r := Row{}
	if err := json.Unmarshal(value, &r); err != nil {
		return r, code.Wrap(code.PlatformUnknown, err, "grant: cannot decode the row %q", key)
	}
	if r.Endpoint != strings.TrimPrefix(key, RowPrefix) {
		return r, code.New(code.PlatformUnknown, "grant: the row %q is of another endpoint", key)
	}
	return r, nil
}
