package ingress

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"heatherford/core/code"
	"heatherford/core/edge"
	"heatherford/core/route"
	"heatherford/io/internal/keepalive"
	"heatherford/io/internal/paced"
)

// Headers are the names of the headers between a caller and a host.
type Headers struct {
	// RequestID names an attempt of a client.
	RequestID string
	// DeadlineMS carries how long the client waits, in milliseconds.
	DeadlineMS string
	// Object names what a request concerns.
	Object string
	// Own are headers that only hosts and endpoints set. They are dropped from
	// what clients send.
	Own []string
	// ToHosts are headers that endpoints address to hosts. They are dropped from what
	// endpoints answer.
	ToHosts []string
	// ByHost marks a request that a host sent to an endpoint. Empty stands for none.
	ByHost string
}

const (
	// maxHeldBytes bounds the bodies of the requests in progress.
	maxHeldBytes = 48 << 20
	// bodyTimeout is the longest pause between bytes of a request's body, and the longest
	// time in which a client takes writeBytes of an answer's.
	bodyTimeout = 5 * time.Second
	writeBytes  = 16 << 10
	// headerCode carries the result code of an answer of the host's own.
	headerCode = "Heatherford-Code"
	// retryShare is the part of the time left that a client waits at most.
	retryShare = 1.0 / 3
)

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// traffic answers requests for work.
type traffic struct {
	edge    *edge.Edge
	headers Headers
	// held is the number of bytes of bodies in progress.
	held atomic.Int64
	// leaving makes callers use another connection next.
	leaving *atomic.Bool
	// pause is the longest pause between bytes of a request's body, and the longest time
	// in which a client takes writeBytes of an answer's.
	pause time.Duration
}

// ServeHTTP implements http.Handler.
func (t *traffic) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	keepalive.Begin(r.Context(), r.Header.Get(t.headers.RequestID))
	q := &edge.Request{
		ID:      r.Header.Get(t.headers.RequestID),
		Method:  r.Method,
		Host:    r.Host,
		Path:    r.URL.Path,
		Target:  r.RequestURI,
		Object:  r.Header.Get(t.headers.Object),
		Caller:  r.Header.Get("Authorization"),
		Arrived: arrived,
	}
	if n, err := strconv.ParseInt(r.Header.Get(t.headers.DeadlineMS), 10, 32); err == nil && n > 0 {
		q.Deadline = arrived.Add(time.Duration(n) * time.Millisecond)
	}
	if t.headers.ByHost != "" && r.Header.Get(t.headers.ByHost) != "" {
		// Another writer has listed this host as an endpoint.
		t.refuse(w, q, http.StatusMisdirectedRequest, code.NotAnEndpoint, "this is a host and no endpoint")
		return
	}
	limits := t.limits()
	if limits.HeaderBytes > 0 && headerBytes(r.Header) > limits.HeaderBytes {
		t.refuse(w, q, http.StatusRequestHeaderFieldsTooLarge, code.RequestInvalid, "the headers are too long")
		return
	}
	b, status := t.body(w, r, limits.BodyBytes)
	defer t.held.Add(-int64(len(b)))
	if status != 0 {
		t.refuse(w, q, status, code.BodyTooLarge, "the body cannot be taken")
		return
	}
	q.Body = b
	q.Header = t.forwarded(r.Header)
	ctx := r.Context()
	a := t.edge.Serve(ctx, q)
	if a == nil {
		keepalive.Abandoned(r.Context())
		// A client that has closed only its sending half still reads.
		w.Header().Set("Connection", "close")
		t.refuse(w, q, http.StatusBadGateway, code.OutcomeDiscarded, "the connection ended before the answer")
		return
	}
	t.write(w, q, a)
}

func (t *traffic) limits() route.Limits {
	if v := t.edge.View(); v.Table != nil {
		return v.Table.Declaration.Limits
	}
	return route.Limits{}
}

func headerBytes(h http.Header) int64 {
	const separators = 4
	n := 0
	for k, v := range h {
		for _, x := range v {
			n += len(k) + len(x) + separators
		}
	}
	return int64(n)
}

// body reads the request's body whole. The status is not 0 if it cannot be
// taken. The bytes returned are counted as held in any case.
func (t *traffic) body(w http.ResponseWriter, r *http.Request, most int64) (b []byte, status int) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, 0
	}
	if most <= 0 || most > maxHeldBytes {
		most = maxHeldBytes
	}
	if r.ContentLength > most {
		return nil, http.StatusRequestEntityTooLarge
	}
	if t.held.Load()+max(0, r.ContentLength) > maxHeldBytes {
		return nil, http.StatusServiceUnavailable
	}
	c := http.NewResponseController(w)
	b, err := io.ReadAll(&paced.Reader{
		Reader:     http.MaxBytesReader(w, r.Body, most),
		Controller: c,
		Pause:      t.pause,
	})
	t.held.Add(int64(len(b)))
	if err != nil {
		x := (*http.MaxBytesError)(nil)
		if errors.As(err, &x) {
			return b, http.StatusRequestEntityTooLarge
		}
		return b, http.StatusRequestTimeout
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return b, http.StatusRequestTimeout
	}
	return b, 0
}

// forwarded returns the headers that go on to an endpoint.
func (t *traffic) forwarded(h http.Header) http.Header {
	f := h.Clone()
	for _, v := range h.Values("Connection") {
		for _, n := range strings.Split(v, ",") {
			f.Del(strings.TrimSpace(n))
		}
	}
	for _, n := range hopHeaders {
		f.Del(n)
	}
	for _, n := range t.headers.Own {
		f.Del(n)
	}
	return f
}

func (t *traffic) refuse(w http.ResponseWriter, q *edge.Request, status int, c code.Code, detail string) {
	t.write(w, q, &edge.Answer{
		Status: status,
		Code:   c,
		Detail: detail,
	})
}

// write sends the final answer.
func (t *traffic) write(w http.ResponseWriter, q *edge.Request, a *edge.Answer) {
	h := w.Header()
	if t.leaving.Load() {
		h.Set("Connection", "close")
	}
	if a.Code == code.Answered {
		for k, v := range t.forwarded(a.Header) {
			h[k] = v
		}
		for _, n := range t.headers.ToHosts {
			h.Del(n)
		}
		if _, ok := h["Content-Type"]; !ok {
			// Without a value of its own, net/http would guess one.
			h["Content-Type"] = nil
		}
		if _, ok := h["Date"]; !ok {
			h["Date"] = nil
		}
		if q.Method != http.MethodHead {
			h.Set("Content-Length", strconv.Itoa(len(a.Body)))
		}
		w.WriteHeader(a.Status)
		t.writeBody(w, a.Body)
		return
	}
	b := a.Detail + "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(b)))
	h.Set(headerCode, strconv.Itoa(int(a.Code)))
	if q.ID != "" {
		h.Set(t.headers.RequestID, q.ID)
	}
	if s := retryAfter(a.RetryAt, q.Deadline, time.Now()); s != "" {
		h.Set("Retry-After", s)
	}
	w.WriteHeader(a.Status)
	io.WriteString(w, b)
}

// writeBody writes a body as long as the client keeps taking it. After an error the server
// closes the connection, since the answer is not whole.
func (t *traffic) writeBody(w http.ResponseWriter, b []byte) {
	p := &paced.Writer{
		Writer:     w,
		Controller: http.NewResponseController(w),
		Pause:      t.pause,
	}
	for len(b) > 0 {
		n, err := p.Write(b[:min(len(b), writeBytes)])
		if err != nil {
			return
		}
		b = b[n:]
	}
}

// retryAfter returns the seconds after which a client may come back, or an empty
// string if the answer says nothing of it. Clients wait for no more than a part
// of the time that they have left.
func retryAfter(again, deadline, now time.Time) string {
	if again.IsZero() {
		return ""
	}
	d := max(0, again.Sub(now))
	if !deadline.IsZero() {
		d = min(d, time.Duration(retryShare*float64(max(0, deadline.Sub(now)))))
	}
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
