package wire

import (
	"bytes"
	"net/http"
	"regexp"
)

var (
	// statusLine matches the beginning of an answer's head.
	statusLine = regexp.MustCompile(`HTTP/\d\.\d \d{3}`)
	// validStatus matches a status line whose status is one: three digits, from 100 to 599.
	validStatus = regexp.MustCompile(`^HTTP/\d\.\d [1-5]\d\d(?: |\r?\n)`)
)

var (
	newline = []byte("\n")
	colon   = []byte(":")
)

// next reads the head of the next answer on the connection, interim ones
// included.
func (x *exchange) next() (*http.Response, error) {
	a, head, err := x.conn.readHead(x.message.request)
	if err != nil {
		return nil, err
	}
	switch {
	case !validStatus.Match(head):
		return nil, ErrStatus
	case !wellFormed(head):
		return nil, ErrHead
	case a.StatusCode < http.StatusOK && statesBody(head):
		return nil, ErrInterim
	}
	q := quotesHead(a.Header)
	if statusLine.MatchString(a.Status) || (q && x.reused && !x.conn.quotes) {
		return nil, ErrSpliced
	}
	x.conn.quotes = x.conn.quotes || q
	return a, nil
}

// quotesHead reports whether the value of a header holds the beginning of
// another head.
func quotesHead(h http.Header) bool {
	for _, f := range h {
		for _, v := range f {
			if statusLine.MatchString(v) {
				return true
			}
		}
	}
	return false
}

// statesBody reports whether a head says that a body follows. Behind an interim answer there is
// none, so that the next answer would begin within it.
func statesBody(head []byte) bool {
	for line := range bytes.Lines(head) {
		name, value, _ := bytes.Cut(line, colon)
		switch {
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			return true
		case bytes.EqualFold(name, []byte("Content-Length")) && !bytes.Equal(bytes.TrimSpace(value), []byte("0")):
			return true
		}
	}
	return false
}

// wellFormed reports whether a head that net/http has parsed holds nothing that other
// parsers read in another way, such that the answer ends elsewhere: a space before a colon,
// a folded line, or chunks in HTTP/1.0.
func wellFormed(head []byte) bool {
	status, rest, _ := bytes.Cut(head, newline)
	chunks := bytes.HasPrefix(status, []byte("HTTP/1.1 "))
	for line := range bytes.Lines(rest) {
		name, _, _ := bytes.Cut(line, colon)
		switch {
		case bytes.ContainsAny(name, " \t"):
			return false
		case bytes.EqualFold(name, []byte("Transfer-Encoding")) && !chunks:
			return false
		}
	}
	return true
}
