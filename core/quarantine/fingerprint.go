package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
)

// Fingerprint identifies all requests of the same content. It is a part of a SHA-256 sum,
// so that nobody can make a request that shares the fingerprint of another one.
type Fingerprint [16]byte

// Content is what a request is identified by.
type Content struct {
	Method string
	Host   string
	// Target is the path and query.
	Target string
	// Caller identifies the client account, such as by its credentials.
	Caller string
	// Object names the object that the request concerns, or is empty.
	Object string
	Body   []byte
}

// Fingerprint returns the fingerprint of the content.
func (c *Content) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, s := range []string{c.Method, c.Host, c.Target, c.Caller, c.Object} {
		writeField(h, []byte(s))
	}
	writeField(h, c.Body)
	f := Fingerprint{}
	copy(f[:], h.Sum(nil))
	return f
}

// writeField writes a field behind its length, so that no two contents are written alike.
func writeField(h hash.Hash, b []byte) {
	n := [8]byte{}
	binary.BigEndian.PutUint64(n[:], uint64(len(b)))
	// A hash never returns an error.
	_, _ = h.Write(n[:])
	_, _ = h.Write(b)
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return []byte(f.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(b []byte) error {
	if len(b) != hex.EncodedLen(len(f)) {
		return fmt.Errorf("quarantine: a fingerprint has %d digits, not %d", hex.EncodedLen(len(f)), len(b))
	}
	_, err := hex.Decode(f[:], b)
	return err
}
