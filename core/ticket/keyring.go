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

// tokenPrefix starts every token, which is a ticket as callers see it.
const tokenPrefix = "ht1."

// maxTokenBytes bounds the length of a token.
const maxTokenBytes = 1 << 10

const (
	secretBytes = 32
	// propagationTime is how old a new secret must be before tickets are signed
	// with it, so that every host has read it by then.
	propagationTime = 2 * time.Minute
	// maxSecretAge is the age of the newest secret at which a new one is added.
	maxSecretAge = 24 * time.Hour
)

// Secret is an HMAC key that signs tickets. All hosts share it.
type Secret struct {
	ID        string    `json:"id"`
	Value     []byte    `json:"value"`
	CreatedAt time.Time `json:"created_at"`
}

// Keyring holds the signing secrets of all hosts, the oldest first. It is
// immutable.
type Keyring struct {
	Secrets []Secret `json:"secrets"`
}

// Rotate returns the keyring with a new secret if the newest is too old or there is
// none. Of the others it keeps only the newest, since no unexpired ticket was signed
// with an older one. It reports whether anything changed.
func (k Keyring) Rotate(now time.Time) (Keyring, bool) {
	n := len(k.Secrets)
	if n > 0 && now.Sub(k.Secrets[n-1].CreatedAt) < maxSecretAge {
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

// signingSecret returns the newest secret that every host has read. A keyring's
// oldest secret is taken to be that old. It reports false without a secret.
func (k Keyring) signingSecret(now time.Time) (Secret, bool) {
	for i := len(k.Secrets) - 1; i >= 0; i-- {
		if i == 0 || now.Sub(k.Secrets[i].CreatedAt) >= propagationTime {
			return k.Secrets[i], true
		}
	}
	return Secret{}, false
}

// Sign returns the signed token of t. It reports false without a secret.
func (k Keyring) Sign(t Ticket, now time.Time) (string, bool) {
	s, ok := k.signingSecret(now)
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

// mac returns the HMAC-SHA256 of text in base64url.
func mac(s Secret, text string) string {
	h := hmac.New(sha256.New, s.Value)
	h.Write([]byte(text))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil))
}

// Verify checks the token's signature and returns its ticket. The error is
// TicketInvalid, or HostBehind if the token names a secret that this host lacks. It
// doesn't check whether the ticket has expired.
func (k Keyring) Verify(token string) (Ticket, error) {
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
		return t, code.New(code.HostBehind, "ticket: this host has no signing secret %q", id)
	}
	if !hmac.Equal([]byte(mac(s, token[:i])), []byte(token[i+1:])) {
		return t, invalid("the signature is wrong")
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

func invalid(reason string) error {
	return code.New(code.TicketInvalid, "ticket: the ticket is invalid: %s", reason)
}
