package ticket

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"heatherford/core/code"
	"heatherford/core/work"
)

// Mode says how a ticket's request is prevented from running twice.
type Mode string

// The modes of a ticket.
const (
	// Claimed requests are claimed in the platform's table before the dispatch.
	Claimed Mode = "claimed"
	// MemoryOnly requests are recorded only in the memory of their home. They are
	// run without the platform. If the home goes without a handover, their
	// outcome is unknown.
	MemoryOnly Mode = "memory_only"
)

// Lifetime is how long after its issue a ticket's request may be dispatched.
const Lifetime = 2 * time.Minute

// maxClockSkew is the assumed bound of the difference between two hosts' clocks.
const maxClockSkew = 2 * time.Minute

// CallerKeyRetention is how long the row of a caller key lives after its claim.
const CallerKeyRetention = 24 * time.Hour

// Retention is how long after a ticket's expiry its outcome is available.
const Retention = time.Minute

// Ticket permits one request to be run at most once. It is immutable.
type Ticket struct {
	// ID is distinct among all tickets.
	ID string `json:"id"`
	// Home and Incarnation identify the only process that may dispatch the
	// request. An incarnation is distinct for every start of a host.
	Home        string `json:"home"`
	Incarnation string `json:"incarnation"`
	Kind        string `json:"kind"`
	Mode        Mode   `json:"mode"`
	// ExpiresAt is set by the issuer's clock and checked by the home's.
	ExpiresAt time.Time `json:"expires_at"`
}

// NewID returns a new random identifier.
func NewID() string {
	return rand.Text()
}

// bucketLength is the span of expiry times whose tickets' rows share a key prefix.
const bucketLength = time.Minute

// TicketRowPrefix and KeyRowPrefix start the row keys of tickets and of caller keys.
const (
	TicketRowPrefix = "once/ticket/"
	KeyRowPrefix    = "once/key/"
)

// BucketPrefix returns the prefix of the row keys of the tickets that expire in the
// same minute as t.
func BucketPrefix(t time.Time) string {
	return fmt.Sprintf("%s%d/", TicketRowPrefix, t.Unix()/int64(bucketLength.Seconds()))
}

// RowKey returns the key of the ticket's row.
func (t Ticket) RowKey() string {
	return BucketPrefix(t.ExpiresAt) + t.ID
}

// RowExpiresAt returns when the ticket's row may be deleted. By the clock of any
// host, the ticket may then not be dispatched any more and its outcome is not
// available any more.
func (t Ticket) RowExpiresAt() time.Time {
	return t.ExpiresAt.Add(Retention + maxClockSkew)
}

// CallerKeyRowKey returns the key of the row of a caller key. The rows are spread over
// 4096 prefixes of three hexadecimal digits.
func CallerKeyRowKey(kind, key string) string {
	s := sha256.Sum256([]byte(kind + "\x00" + key))
	h := hex.EncodeToString(s[:])
	const prefixDigits = 3
	return KeyRowPrefix + h[:prefixDigits] + "/" + h
}

// Digest returns a digest of kind, method, path and body. It detects that a ticket
// or key is used for another request.
func Digest(r *work.Request) string {
	h := sha256.New()
	fmt.Fprintf(h, "%q %q %q\n", r.Kind.Name, r.Method, r.Path)
	h.Write(r.Body)
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil))
}

// Bounds of the length of caller keys, in bytes.
const (
	minKeyLength = 16
	maxKeyLength = 256
)

// CheckKey returns a RequestInvalid error unless s can be a caller key. Short keys are
// refused, since two callers may choose the same.
func CheckKey(s string) error {
	if len(s) < minKeyLength || len(s) > maxKeyLength {
		return code.New(code.RequestInvalid, "ticket: %s has %d characters, expected %d to %d",
			work.HeaderIdempotencyKey, len(s), minKeyLength, maxKeyLength)
	}
	return nil
}

// IsTicket reports whether s has the form of a ticket's token. It may be invalid.
func IsTicket(s string) bool {
	return strings.HasPrefix(s, tokenPrefix)
}
