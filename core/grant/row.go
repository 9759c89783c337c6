package grant

import (
	"encoding/json"
	"strings"

	"heatherford/core/code"
	"heatherford/core/quota"
	"heatherford/core/strict"
)

// Prefix starts the keys of all rows; the endpoint's name follows.
const Prefix = "grant/"

// Key returns the key of the endpoint's row.
func Key(endpoint string) string {
	return Prefix + endpoint
}

// Row is the grant of one endpoint as the platform's table holds it.
//
// It holds lengths of time where other data holds deadlines: no host knows
// another's clock, so each counts from an event of its own.
type Row struct {
	Endpoint string `json:"endpoint"`
	// Owner is the host that may send to the endpoint, and Incarnation the run
	// of its daemon.
	Owner       string `json:"owner"`
	Incarnation string `json:"incarnation"`
	// Standby is the host that takes over after the owner's death, or empty.
	Standby string `json:"standby,omitempty"`
	// Epoch grows by one with every change of the owner.
	Epoch uint64 `json:"epoch"`
	// Renewal numbers the writes of one incarnation, by which it knows its own
	// write again if the answer was lost.
	Renewal uint64 `json:"renewal"`
	// Term is the length of the lease.
	Term strict.Duration `json:"term"`
	// Longest is how long a request may take.
	Longest strict.Duration `json:"longest"`
	// Lasting is what requests that may outlast the lease use at most. It covers
	// the part that the owner keeps without a lease.
	Lasting quota.Limits `json:"lasting"`
	// Version is the declaration that Limits are within.
	Version uint64 `json:"version"`
	// Limits are divided among the owner and the reservations.
	Limits quota.Limits `json:"limits"`
	// Reserved are the parts that other hosts may still use. They hold at most
	// one entry for each host and incarnation.
	Reserved []Reservation `json:"reserved,omitempty"`
}

// Reservation is a part that a host other than the owner may use. It ends after
// the host has acknowledged that it has not, or has left the platform's list.
type Reservation struct {
	Host string `json:"host"`
	// Incarnation is empty if the owner does not know it.
	Incarnation string       `json:"incarnation,omitempty"`
	Limits      quota.Limits `json:"limits"`
	// Later is what is left of Limits once the requests that outlasted the
	// lease have ended, or nil if that has come.
	Later *quota.Limits `json:"later,omitempty"`
	// Serial is that of the cession, 0 for an earlier owner's part.
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

// Own returns what is left for the owner while its lease is in force.
func (r *Row) Own() quota.Limits {
	l := r.Limits
	for _, v := range r.Reserved {
		l = l.Minus(v.Limits)
	}
	return l
}

// ownLater returns what is left for the owner once the requests that outlasted
// earlier owners' leases have ended.
func (r *Row) ownLater() quota.Limits {
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
	return sum(r.Reserved)
}

func sum(s []Reservation) quota.Limits {
	l := quota.Limits{}
	for _, v := range s {
		l = l.Plus(v.Limits)
	}
	return l
}

func (r *Row) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		// A row holds nothing that JSON cannot.
		panic(err)
	}
	return b
}

func decode(key string, value []byte) (Row, error) {
	r := Row{}
	if err := json.Unmarshal(value, &r); err != nil {
		return r, code.Wrap(code.PlatformUnknown, err, "grant: cannot decode the row %q", key)
	}
	if r.Endpoint != strings.TrimPrefix(key, Prefix) {
		return r, code.New(code.PlatformUnknown, "grant: the row %q is of another endpoint", key)
	}
	return r, nil
}
