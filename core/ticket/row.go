package ticket

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"heatherford/core/code"
)

// Row is the content of a row that claims work for one home. It is immutable.
type Row struct {
	// Operation is the stable identifier of the write, by which a lost answer
	// is settled. It is distinct for every claim and tombstone.
	Operation string `json:"operation"`
	// Home and Incarnation name the process that may dispatch the work, or the
	// one that wrote the tombstone.
	Home        string `json:"home"`
	Incarnation string `json:"incarnation"`
	// Tombstone is true if no home may dispatch the work any more.
	Tombstone bool `json:"tombstone,omitempty"`
	// Digest tells the request that was claimed from others.
	Digest string `json:"digest,omitempty"`
	// ExpiresAt is when the row may be deleted.
	ExpiresAt time.Time `json:"expires_at"`
	// Outcome is how the work ended, or nil while that is not recorded.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Outcome is how work ended. It is immutable.
type Outcome struct {
	// Code is code.Answered, or the code of a refusal or failure.
	Code code.Code `json:"code"`
	// Reason is a short sentence, empty for an answer.
	Reason string `json:"reason,omitempty"`
	// Kept is true if the answer's fields below are set.
	Kept     bool        `json:"kept,omitempty"`
	Status   int         `json:"status,omitempty"`
	Header   http.Header `json:"header,omitempty"`
	Body     []byte      `json:"body,omitempty"`
	Host     string      `json:"host,omitempty"`
	Endpoint string      `json:"endpoint,omitempty"`
}

// maxRowBody is the longest body of an answer that is kept in a row.
const maxRowBody = 4 << 10

// maxRowHeader bounds the header of an answer that is kept in a row.
const maxRowHeader = 2 << 10

// Encode returns the row's value. An answer too large for a row is left out.
func (r Row) Encode() []byte {
	if o := r.Outcome; o != nil && o.Kept && (len(o.Body) > maxRowBody || headerSize(o.Header) > maxRowHeader) {
		r.Outcome = &Outcome{
			Code: o.Code,
		}
	}
	b, err := json.Marshal(r)
	if err != nil {
		// Every field's type can be encoded.
		panic(err)
	}
	return b
}

func headerSize(h http.Header) int {
	n := 0
	for k, s := range h {
		for _, v := range s {
			n += len(k) + len(v)
		}
	}
	return n
}

// DecodeRow parses a row's value.
func DecodeRow(b []byte) (Row, error) {
	r := Row{}
	if err := json.Unmarshal(b, &r); err != nil {
		return r, code.Wrap(code.PlatformUnknown, err, "ticket: cannot decode a row")
	}
	return r, nil
}

// Failed returns the outcome of work that gave no answer.
func Failed(c code.Code, reason string) Outcome {
	return Outcome{
		Code:   c,
		Reason: reason,
	}
}

// Describe returns the outcome in short.
func (o Outcome) Describe() string {
	if o.Reason == "" {
		return fmt.Sprintf("%d", o.Code)
	}
	return fmt.Sprintf("%d: %s", o.Code, o.Reason)
}

// Settle returns what a host that is not the home says of work with the row,
// and of a request with the digest. Without a recorded outcome the home may
// still be running the work.
func Settle(r Row, digest string) Outcome {
	switch {
	case r.Tombstone:
		return Failed(code.NotRunTombstone, "ticket: the work was given up before any host ran it")
	case r.Digest != digest:
		return mismatch()
	case r.Outcome == nil:
		return Failed(code.OutcomeUnknown, "ticket: the home claimed the work and recorded no outcome")
	default:
		return *r.Outcome
	}
}

// Bury returns what a host that is not the home says after it tried to write a
// tombstone for t; row is the one in the table if it lost.
func Bury(now time.Time, t Ticket, c ClaimResult, row Row, digest string) Outcome {
	switch {
	case c == Lost:
		return Settle(row, digest)
	case c == Unsettled:
		return Failed(code.OutcomeUnknown, "ticket: the home is gone and the platform does not answer")
	case Forgotten(now, t.ExpiresAt):
		// The home's claim may have been deleted before the tombstone came.
		return forgotten()
	default:
		return Failed(code.NotRunTombstone, "ticket: the home is gone and never claimed the work")
	}
}

// Forgotten reports whether a ticket with the expiry is so old that its home
// and its row may be gone though its work was run.
func Forgotten(now, expires time.Time) bool {
	return !now.Before(expires.Add(Keep))
}

func forgotten() Outcome {
	return Failed(code.OutcomeUnknown, "ticket: the ticket expired too long ago to tell what became of it")
}

// Tombstone returns the row that keeps every home from claiming t.
func Tombstone(t Ticket, home, incarnation string) Row {
	return Row{
		Operation:   NewID(),
		Home:        home,
		Incarnation: incarnation,
		Tombstone:   true,
		ExpiresAt:   t.RowExpiresAt(),
	}
}

func mismatch() Outcome {
	return Failed(code.KeyMismatch, "ticket: the key was used for another request")
}
