package ticket

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"heatherford/core/code"
)

// tokenPrefix starts every ticket as callers see it.
const tokenPrefix = "ht1."

// maxTokenBytes bounds a ticket as callers see it.
const maxTokenBytes = 1 << 10

const (
	secretBytes = 32
	// settleTime is how long a new secret is known before tickets are made by
	// it, so that every host has read it.
	settleTime = 2 * time.Minute
	// rotateAfter is how old the newest secret gets.
	rotateAfter = 24 * time.Hour
)

// Secret authenticates tickets. All hosts share it.
type Secret struct {
	ID        string    `json:"id"`
	Value     []byte    `json:"value"`
	CreatedAt time.Time `json:"created_at"`
}

// Keyring is the hosts' secrets, the oldest first. It is immutable.
type Keyring struct {
	Secrets []Secret `json:"secrets"`
}

// Rotate returns the keyring with a new secret if the newest is too old, and
// without those that no live ticket was made by. It reports whether anything
// changed.
func (k Keyring) Rotate(now time.Time) (Keyring, bool) {
	n := len(k.Secrets)
	if n > 0 && now.Sub(k.Secrets[n-1].CreatedAt) < rotateAfter {
		return k, false
	}
	s := Secret{
		ID:        rand.Text()[:8],
		Value:     make([]byte, secretBytes),
		CreatedAt: now.UTC(),
	}
	// Read never returns an error.
	_, _ = rand.Read(s.Value)
	kept := k.Secrets[max(0, n-1):]
	return Keyring{
		Secrets: append(append([]Secret{}, kept...), s),
	}, true
}

// signing returns the newest secret that every host knows.
func (k Keyring) signing(now time.Time) (Secret, bool) {
	for i := len(k.Secrets) - 1; i >= 0; i-- {
		if i == 0 || now.Sub(k.Secrets[i].CreatedAt) >= settleTime {
			return k.Secrets[i], true
		}
	}
	return Secret{}, false
}

// Seal returns t as callers see it. It reports false without a secret.
func (k Keyring) Seal(t Ticket, now time.Time) (string, bool) {
	s, ok := k.signing(now)
	if !ok {
		return "", false
	}
	b, err := json.Marshal(t)
	if err != nil {
		return "", false
	}
	p := tokenPrefix + s.ID + "." + base64.RawURLEncoding.EncodeToString(b)
	return p + "." + mac(s, p), true
}

func mac(s Secret, text string) string {
	h := hmac.New(sha256.New, s.Value)
	h.Write([]byte(text))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil))
}

// Open returns the ticket that Seal made into the token. Its errors are
// TicketInvalid, or HostBehind if this host may lack the secret.
func (k Keyring) Open(token string) (Ticket, error) {
	t := Ticket{}
	if len(token) > maxTokenBytes {
		return t, invalid("too long")
	}
	i := strings.LastIndexByte(token, '.')
	if !strings.HasPrefix(token, tokenPrefix) || i < len(tokenPrefix) {
		return t, invalid("not a ticket")
	}
	id, payload, ok := strings.Cut(token[len(tokenPrefix):i], ".")
	if !ok {
		return t, invalid("not a ticket")
	}
	s, ok := k.secret(id)
	if !ok {
		return t, code.New(code.HostBehind, "ticket: this host knows no secret %q", id)
	}
	if !hmac.Equal([]byte(mac(s, token[:i])), []byte(token[i+1:])) {
		return t, invalid("not made by this system")
	}
	b, err := base64.RawURLEncoding.DecodeString(payload)
	if err != nil {
		return t, invalid("not a ticket")
	}
	if err := json.Unmarshal(b, &t); err != nil {
		return t, invalid("not a ticket")
	}
	return t, nil
}

func (k Keyring) secret(id string) (Secret, bool) {
	for _, s := range k.Secrets {
		if s.ID == id {
			return s, true
		}
	}
	return Secret{}, false
}

func invalid(why string) error {
	return code.New(code.TicketInvalid, "ticket: the ticket is invalid: %s", why)
}
