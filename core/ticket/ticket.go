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

// Mode says how a ticket's work is kept from running twice.
type Mode string

// The modes of a ticket.
const (
	// Claimed work is claimed in the platform's table before it is dispatched.
	Claimed Mode = "claimed"
	// MemoryOnly work is kept from running twice by its home's memory. With the
	// home gone its outcome is unknown.
	MemoryOnly Mode = "memory_only"
)

// Lifetime is how long after its issue a ticket may be dispatched.
const Lifetime = 2 * time.Minute

// maxClockError bounds by how much two hosts' clocks differ.
const maxClockError = 2 * time.Minute

// OwnKeep is how long a caller's own key is remembered after its claim.
const OwnKeep = 24 * time.Hour

// Keep is how long after a ticket's expiry its outcome is known.
const Keep = time.Minute

// Ticket is the right to have one request run at most once. It is immutable.
type Ticket struct {
	// ID is distinct among all tickets.
	ID string `json:"id"`
	// Home is the only host that may dispatch the ticket's work, in this
	// incarnation.
	Home        string `json:"home"`
	Incarnation string `json:"incarnation"`
	Kind        string `json:"kind"`
	Mode        Mode   `json:"mode"`
	// ExpiresAt is by the home's clock, give or take what the clocks of issuer
	// and home differ.
	ExpiresAt time.Time `json:"expires_at"`
}

// NewID returns a new distinct identifier.
func NewID() string {
	return rand.Text()
}

// bucketLength is how many tickets' rows share a prefix, in time.
const bucketLength = time.Minute

// TicketPrefix and KeyPrefix start the keys of the rows of tickets and of
// callers' own keys.
const (
	TicketPrefix = "once/ticket/"
	KeyPrefix    = "once/key/"
)

// BucketPrefix returns the start of the row keys of the tickets that expire
// within the same minute as t.
func BucketPrefix(t time.Time) string {
	return fmt.Sprintf("%s%d/", TicketPrefix, t.Unix()/int64(bucketLength.Seconds()))
}

// RowKey returns the key of the ticket's row.
func (t Ticket) RowKey() string {
	return BucketPrefix(t.ExpiresAt) + t.ID
}

// RowExpiresAt returns when the ticket's row may be deleted: no home dispatches
// the ticket any more and no host says what became of it, by whichever clock.
func (t Ticket) RowExpiresAt() time.Time {
	return t.ExpiresAt.Add(Keep + maxClockError)
}

// OwnRowKey returns the key of the row of a caller's own idempotency key. The
// rows are spread over 4096 prefixes of three digits.
func OwnRowKey(kind, key string) string {
	s := sha256.Sum256([]byte(kind + "\x00" + key))
	h := hex.EncodeToString(s[:])
	const prefixDigits = 3
	return KeyPrefix + h[:prefixDigits] + "/" + h
}

// Digest returns what tells two requests under one key apart.
func Digest(r *work.Request) string {
	h := sha256.New()
	fmt.Fprintf(h, "%q %q %q\n", r.Kind.Name, r.Method, r.Path)
	h.Write(r.Body)
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil))
}

// Bounds of callers' own keys.
const (
	minKeyLength = 16
	maxKeyLength = 256
)

// CheckKey returns an error unless s will do as a caller's own key. Short ones
// are refused, since two callers may choose the same.
func CheckKey(s string) error {
	if len(s) < minKeyLength || len(s) > maxKeyLength {
		return code.New(code.RequestInvalid, "ticket: %s has %d characters, expected %d to %d",
			work.HeaderIdempotencyKey, len(s), minKeyLength, maxKeyLength)
	}
	return nil
}

// IsTicket reports whether s is meant as a ticket.
func IsTicket(s string) bool {
	return strings.HasPrefix(s, tokenPrefix)
}
