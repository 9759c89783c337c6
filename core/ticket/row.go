package ticket

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"heatherford/core/code"
)

// Row is the content of a row in the platform's table: the claim of a request by one
// home, or a tombstone. It is immutable.
type Row struct {
	// Operation identifies the write. If the response to a commit is lost, it
	// shows whether the row in the table is the one of that commit. It is
	// distinct for every claim and tombstone, and the same for all retries of
	// one.
	Operation string `json:"operation"`
	// Home and Incarnation identify the process that may dispatch the request,
	// or the one that wrote the tombstone.
	Home        string `json:"home"`
	Incarnation string `json:"incarnation"`
	// Tombstone is true if no home may dispatch the request.
	Tombstone bool `json:"tombstone,omitempty"`
	// Digest is the digest of the claimed request, empty in a tombstone.
	Digest string `json:"digest,omitempty"`
	// ExpiresAt is when the row may be deleted.
	ExpiresAt time.Time `json:"expires_at"`
	// Outcome is the outcome of the request, or nil while none is recorded.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Outcome is the result of a request. It is immutable.
type Outcome struct {
	// Code is code.Answered, or the code of a refusal or failure.
	Code code.Code `json:"code"`
	// Reason is a short sentence for the caller, empty for an answer.
	Reason string `json:"reason,omitempty"`
	// Kept is true if the fields below hold the answer. It is false without an
	// answer or if that was too large to keep.
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

// Encode returns the row's value in the table. Of an outcome whose answer is too
// large for a row it keeps only the code.
func (r Row) Encode() []byte {
	if o := r.Outcome; o != nil && o.Kept && (len(o.Body) > maxRowBody || headerSize(o.Header) > maxRowHeader) {
		r.Outcome = &Outcome{
			Code: o.Code,
		}
	}
	b, err := json.Marshal(r)
	if err != nil {
		// Unreachable: every field's type can be encoded.
		panic(err)
	}
	return b
}

// headerSize returns the length in bytes of all names and values of h.
func headerSize(h http.Header) int {
	n := 0
	for k, s := range h {
		for _, v := range s {
			n += len(k) + len(v)
		}
	}
	return n
}

// DecodeRow decodes a row's value. The error is PlatformUnknown.
func DecodeRow(b []byte) (Row, error) {
	r := Row{}
	if err := json.Unmarshal(b, &r); err != nil {
		return r, code.Wrap(code.PlatformUnknown, err, "ticket: cannot decode a row")
	}
	return r, nil
}

// Failed returns the outcome of a request without an answer.
func Failed(c code.Code, reason string) Outcome {
	return Outcome{
		Code:   c,
		Reason: reason,
	}
}

// Describe returns the code and the reason for a timeline.
func (o Outcome) Describe() string {
	if o.Reason == "" {
		return fmt.Sprintf("%d", o.Code)
	}
	return fmt.Sprintf("%d: %s", o.Code, o.Reason)
}

// RowOutcome returns the outcome that a host other than the home can read from the
// row, for a request with the digest. Without a recorded outcome it is
// OutcomeUnknown, since the home may still be running the request.
func RowOutcome(r Row, digest string) Outcome {
	switch {
	case r.Tombstone:
		return Failed(code.NotRunTombstone, "ticket: a tombstone was written before any host ran the work")
	case r.Digest != digest:
		return mismatch()
	case r.Outcome == nil:
		return Failed(code.OutcomeUnknown, "ticket: the home claimed the work and recorded no outcome")
	default:
		return *r.Outcome
	}
}

// TombstoneOutcome returns the outcome after a host other than the home tried to
// write a tombstone for t, with the result c. If that is a conflict, row is the row
// in the table.
func TombstoneOutcome(now time.Time, t Ticket, c ClaimResult, row Row, digest string) Outcome {
	switch {
	case c == Conflicted:
		return RowOutcome(row, digest)
	case c == Uncertain:
		return Failed(code.OutcomeUnknown, "ticket: the home is gone and the platform does not answer")
	case PastRetention(now, t.ExpiresAt):
		// The home's claim may have expired and been deleted before the tombstone
		// was written.
		return pastRetention()
	default:
		return Failed(code.NotRunTombstone, "ticket: the home is gone and never claimed the work")
	}
}

// PastRetention reports whether a ticket with the expiry is so old that its home may
// have evicted its run and its row may have been deleted although it was run.
func PastRetention(now, expires time.Time) bool {
	return !now.Before(expires.Add(Retention))
}

func pastRetention() Outcome {
	return Failed(code.OutcomeUnknown, "ticket: the ticket expired too long ago to know its outcome")
}

// Tombstone returns the row that prevents the home from claiming t, written by the
// given process.
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
