package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Behavior is what a hostile endpoint does with one request.
type Behavior string

// The behaviors of a hostile endpoint.
const (
	// Honest answers whole.
	Honest Behavior = "honest"
	// Chunked answers whole in chunks.
	Chunked Behavior = "chunked"
	// NotRun refuses the request as not run.
	NotRun Behavior = "not_run"
	// CloseAfterRead closes the connection after the request was read.
	CloseAfterRead Behavior = "close_after_read"
	// Truncated closes the connection in the middle of the body.
	Truncated Behavior = "truncated"
	// TruncatedChunks ends the connection without the last chunk.
	TruncatedChunks Behavior = "truncated_chunks"
	// Reset resets the connection in the middle of the body.
	Reset Behavior = "reset"
	// Oversized sends more than the stated length.
	Oversized Behavior = "oversized"
	// HugeHead sends a head without an end.
	HugeHead Behavior = "huge_head"
	// WrongLength states two lengths.
	WrongLength Behavior = "wrong_length"
	// NoLength ends the body by closing the connection.
	NoLength Behavior = "no_length"
	// WrongID answers under another request's identifier.
	WrongID Behavior = "wrong_id"
	// NoID answers under none.
	NoID Behavior = "no_id"
	// EarlyInterim sends interim answers before the whole one.
	EarlyInterim Behavior = "early_interim"
	// SwitchProtocols answers 101.
	SwitchProtocols Behavior = "switch_protocols"
	// TwoAnswers sends two whole answers at once.
	TwoAnswers Behavior = "two_answers"
	// Trailing sends bytes after the answer a little later.
	Trailing Behavior = "trailing"
	// Late answers whole after the hostile endpoint's Delay.
	Late Behavior = "late"
	// Silent reads the request and never does anything again.
	Silent Behavior = "silent"
	// SilentBody stops for good in the middle of the body.
	SilentBody Behavior = "silent_body"
	// Deaf reads no request and stays open.
	Deaf Behavior = "deaf"
	// NoContinue answers whole, but never sends 100 Continue.
	NoContinue Behavior = "no_continue"
	// Endless never stops sending chunks.
	Endless Behavior = "endless"
	// CutOff closes the connection after the first Cut bytes of a whole answer.
	CutOff Behavior = "cut_off"
	// OnceMore sends the first Cut bytes of a refusal of the request before on the
	// connection, and then answers whole.
	OnceMore Behavior = "once_more"
	// Contradicting answers with a success that it says was not run.
	Contradicting Behavior = "contradicting"
)

// Seen is a request that a hostile endpoint has read whole.
type Seen struct {
	Method string
	Path   string
	ID     string
	Body   string
	// Connection counts the connections up to the one it came on.
	Connection int
}

// Hostile is an endpoint that misbehaves. It is safe for concurrent use.
type Hostile struct {
	// Delay is how long Late and Trailing wait.
	Delay time.Duration
	// Cut is the number of bytes that CutOff and OnceMore send. It is not changed while a
	// request is answered.
	Cut int

	listener net.Listener
	behave   func(n int) Behavior
	group    sync.WaitGroup

	mu    sync.Mutex
	seen  []Seen
	heads int
	conns []net.Conn
}

// NewHostile listens on the address. The request heads are counted from 0; behave
// chooses what is done with each. Calls of /health and /load are answered well
// and not counted.
func NewHostile(address string, behave func(n int) Behavior) (*Hostile, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	h := &Hostile{
		Delay:    20 * time.Millisecond,
		listener: l,
		behave:   behave,
	}
	h.group.Add(1)
	go h.accept()
	return h, nil
}

// Addr returns the address that the endpoint listens on.
func (h *Hostile) Addr() net.Addr {
	return h.listener.Addr()
}

// Seen returns the requests that were read whole.
func (h *Hostile) Seen() []Seen {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Seen{}, h.seen...)
}

// Connections returns the number of connections that were accepted.
func (h *Hostile) Connections() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.conns)
}

// Close ends the endpoint and all its connections.
func (h *Hostile) Close() {
	_ = h.listener.Close()
	h.mu.Lock()
	for _, c := range h.conns {
		_ = c.Close()
	}
	h.mu.Unlock()
	h.group.Wait()
}

func (h *Hostile) accept() {
	defer h.group.Done()
	for {
		c, err := h.listener.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		h.conns = append(h.conns, c)
		n := len(h.conns)
		h.mu.Unlock()
		h.group.Add(1)
		go h.serve(c, n)
	}
}

func (h *Hostile) serve(c net.Conn, connection int) {
	defer h.group.Done()
	defer func() {
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if q.URL.Path == "/health" || q.URL.Path == "/load" {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			continue
		}
		h.mu.Lock()
		b := h.behave(h.heads)
		h.heads++
		h.mu.Unlock()
		if b == Deaf {
			_, _ = io.Copy(io.Discard, c)
			return
		}
		if q.Header.Get("Expect") != "" && b != NoContinue {
			fmt.Fprint(c, "HTTP/1.1 100 Continue\r\n\r\n")
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		s := Seen{
			Method:     q.Method,
			Path:       q.URL.RequestURI(),
			ID:         q.Header.Get("Request-Id"),
			Body:       string(body),
			Connection: connection,
		}
		h.mu.Lock()
		h.seen = append(h.seen, s)
		h.mu.Unlock()
		if !h.act(c, b, s) {
			return
		}
	}
}

// act does what b says and reports whether the connection goes on.
func (h *Hostile) act(c net.Conn, b Behavior, s Seen) bool {
	text := "answer to " + s.Path
	whole := head(s.ID, len(text)) + text
	half := head(s.ID, len(text)) + text[:len(text)/2]
	switch b {
	case Honest, NoContinue:
		fmt.Fprint(c, whole)
		return true
	case Chunked:
		fmt.Fprint(c, chunks(s.ID, text)+"0\r\n\r\n")
		return true
	case NotRun:
		fmt.Fprint(c, refusal(s.ID))
		return true
	case CutOff:
		fmt.Fprint(c, whole[:min(h.Cut, len(whole))])
	case OnceMore:
		fmt.Fprint(c, h.before(s)+whole)
		return true
	case Contradicting:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nUpstream-Not-Run: 1\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", s.ID)
		return true
	case Truncated:
		fmt.Fprint(c, half)
	case TruncatedChunks:
		fmt.Fprint(c, chunks(s.ID, text))
	case Reset:
		fmt.Fprint(c, half)
		// The answer's beginning has to arrive before the reset discards it.
		<-time.After(h.Delay)
		_ = c.(*net.TCPConn).SetLinger(0)
	case Oversized:
		fmt.Fprint(c, whole+" and more")
	case HugeHead:
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nFill: ")
		for range 1 << 10 {
			if _, err := fmt.Fprint(c, strings.Repeat("x", 1<<10)); err != nil {
				return false
			}
		}
	case WrongLength:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 3\r\nContent-Length: %d\r\n\r\n%s", s.ID, len(text), text)
	case NoLength:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\n%s", s.ID, text)
	case WrongID:
		fmt.Fprint(c, head("another", len(text))+text)
		return true
	case NoID:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return true
	case EarlyInterim:
		fmt.Fprint(c, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"+whole)
		return true
	case SwitchProtocols:
		fmt.Fprint(c, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n")
	case TwoAnswers:
		fmt.Fprint(c, whole+whole)
		return true
	case Trailing:
		fmt.Fprint(c, whole)
		<-time.After(h.Delay)
		fmt.Fprint(c, whole)
		return true
	case Late:
		<-time.After(h.Delay)
		fmt.Fprint(c, whole)
		return true
	case Silent:
		_, _ = io.Copy(io.Discard, c)
	case SilentBody:
		fmt.Fprint(c, half)
		_, _ = io.Copy(io.Discard, c)
	case Endless:
		x := strings.Repeat("x", 1<<16)
		_, err := fmt.Fprint(c, chunks(s.ID, x))
		for err == nil {
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(x), x)
		}
	default:
	}
	return false
}

// before returns the beginning of a refusal of the request that came before s on its
// connection, or nothing if s is the first.
func (h *Hostile) before(s Seen) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := ""
	for _, x := range h.seen {
		if x.Connection == s.Connection && x.ID != s.ID {
			r = refusal(x.ID)
		}
	}
	return r[:min(h.Cut, len(r))]
}

func refusal(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 No\r\nUpstream-Not-Run: 1\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
}

func head(id string, length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n", id, length)
}

func chunks(id, text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", id, len(text), text)
}
