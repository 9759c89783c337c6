package carry

import (
	"crypto/tls"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"heatherford/core"
	"heatherford/core/code"
	"heatherford/core/intent"
	"heatherford/core/once"
	"heatherford/core/work"
	"heatherford/io/internal/paced"
	"heatherford/io/internal/refuse"
)

// WorkPrefix starts the paths of requests for work; the kind follows.
const WorkPrefix = "/v1/work/"

// Serve carries one request for work. With hop, the request was passed on by
// another host, whose headers are trusted.
func Serve(k *core.Kernel, w http.ResponseWriter, r *http.Request, hop bool) {
	if hop {
		w.Header().Set(work.HeaderHop, r.Header.Get(work.HeaderHop))
	}
	q, err := read(k, w, r, hop)
	if err != nil {
		err = readError(q, err)
		count(k, q, r, err)
		refuse.Write(w, q.ID, err)
		return
	}
	a, err := k.Dispatcher.Do(r.Context(), q)
	if err != nil {
		if n := len(q.Tried); n > 0 {
			w.Header().Set(work.HeaderEndpoint, q.Tried[n-1])
		}
		level.Info(k.Log).Log("msg", "caller: request refused", "request", q.ID, "code", int(code.Of(err)), "err", err)
		refuse.Write(w, q.ID, err)
		return
	}
	defer a.Body.Close()
	write(k, w, r, q, a)
}

// readError returns the error for a request that cannot be read. Of work that
// may not be repeated, other copies may have been run.
func readError(q *work.Request, err error) error {
	if q.Kind.Repeatable || q.Dispatched || (q.Ticket == "" && q.Key == "") || code.Of(err).Outcome() != code.NotRun {
		return err
	}
	return once.WrapCopyRefused(err)
}

func read(k *core.Kernel, w http.ResponseWriter, r *http.Request, hop bool) (*work.Request, error) {
	q := &work.Request{
		ID:     requestID(r),
		Method: r.Method,
		Header: forwarded(r.Header),
		Key:    r.Header.Get(work.HeaderIdempotencyKey),
		Ticket: r.Header.Get(work.HeaderTicket),
		Hop:    hop,

		Dispatched: hop && r.Header.Get(work.HeaderDispatched) != "",
	}
	q.Header.Add("Via", "1.1 "+k.Settings.Host)
	v := k.Snapshot().Version
	if v == nil {
		return q, code.New(code.HostBehind, "carry: this host knows no declaration yet")
	}
	name, path := splitPath(r)
	kind, ok := v.Declaration.Kind(name)
	if !ok {
		return q, code.New(code.KindUnknown, "carry: no kind %q", name)
	}
	q.Kind = kind
	q.Path = "/" + path
	if r.URL.RawQuery != "" {
		q.Path += "?" + r.URL.RawQuery
	}
	if err := readHeaders(k, q, r); err != nil {
		return q, err
	}
	if err := readRank(v.Declaration, q, r.Header.Get(work.HeaderRank)); err != nil {
		return q, err
	}
	if hop {
		readHop(q, r)
	}
	b, err := readBody(w, r, k.Settings.Limits.RequestBytes, silence)
	if err != nil {
		return q, err
	}
	q.Body = b
	return q, nil
}

// splitPath returns the name of the kind and the rest of the path.
func splitPath(r *http.Request) (kind, rest string) {
	kind, rest, _ = strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), WorkPrefix), "/")
	return kind, rest
}

func readHeaders(k *core.Kernel, q *work.Request, r *http.Request) error {
	q.Deadline = k.Now().Add(q.Kind.Deadline.Std())
	if s := r.Header.Get(work.HeaderDeadline); s != "" {
		t, err := time.Parse(time.RFC3339Nano, s)
		if err != nil {
			return code.Wrap(code.RequestInvalid, err, "carry: %s", work.HeaderDeadline)
		}
		q.Deadline = t
	}
	s := r.Header.Get(work.HeaderCaller)
	if s == "" {
		p, err := netip.ParseAddrPort(r.RemoteAddr)
		if err != nil {
			return code.Wrap(code.RequestInvalid, err, "carry: the connection's address")
		}
		q.Caller = p.Addr()
		return nil
	}
	a, err := netip.ParseAddr(s)
	if err != nil {
		return code.Wrap(code.RequestInvalid, err, "carry: %s", work.HeaderCaller)
	}
	q.Caller = a
	return nil
}

// readRank takes the rank that the caller states, which may be less urgent than
// the kind's, or else the kind's.
func readRank(d *intent.Declaration, q *work.Request, stated string) error {
	q.KindRank = d.RankIndex(q.Kind.Rank)
	q.Target = d.Ranks[q.KindRank].Target
	q.Rank = q.KindRank
	if stated != "" {
		n := d.RankIndex(stated)
		if n < 0 {
			return code.New(code.RequestInvalid, "carry: %s: no rank %q", work.HeaderRank, stated)
		}
		if n < q.Rank {
			return code.New(code.RequestInvalid, "carry: %s: kind %q has rank %q, which is less urgent", work.HeaderRank, q.Kind.Name, q.Kind.Rank)
		}
		q.Rank = n
	}
	q.RankName = d.Ranks[q.Rank].Name
	return nil
}

// readHop reads what only another host may say of a request.
func readHop(q *work.Request, r *http.Request) {
	if s := r.Header.Get(work.HeaderTried); s != "" {
		q.Tried = strings.Split(s, ",")
	}
	q.Immediate = r.Header.Get(work.HeaderImmediate) != ""
}

// maxIDBytes bounds the identifiers that callers choose.
const maxIDBytes = 128

// requestID returns the caller's identifier if it can stand in logs and headers,
// else a new one.
func requestID(r *http.Request) string {
	s := r.Header.Get(work.HeaderRequestID)
	if s == "" || len(s) > maxIDBytes || strings.ContainsFunc(s, unprintable) {
		return work.NewID()
	}
	return s
}

func unprintable(c rune) bool {
	return c <= ' ' || c > '~'
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection",
	"Expect",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// ownPrefix starts the names of heatherford's own headers, of which nobody else
// may set any.
const ownPrefix = "Heatherford-"

// forwarded returns the headers that go to the upstream.
func forwarded(h http.Header) http.Header {
	c := h.Clone()
	for _, n := range hopByHop {
		c.Del(n)
	}
	for n := range c {
		if strings.HasPrefix(n, ownPrefix) {
			c.Del(n)
		}
	}
	return c
}

func write(k *core.Kernel, w http.ResponseWriter, r *http.Request, q *work.Request, a *work.Answer) {
	h := w.Header()
	for n, v := range a.Header {
		if !strings.HasPrefix(n, ownPrefix) {
			h[n] = v
		}
	}
	for _, n := range hopByHop {
		h.Del(n)
	}
	h.Set(work.HeaderRequestID, q.ID)
	h.Set(work.HeaderCode, strconv.Itoa(int(code.Answered)))
	h.Set(work.HeaderOutcome, string(code.Executed))
	h.Set(work.HeaderHost, a.Host)
	h.Set(work.HeaderEndpoint, a.Endpoint)
	if a.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	w.WriteHeader(a.Status)
	p := &paced.Writer{
		Writer:     w,
		Controller: http.NewResponseController(w),
		Pause:      silence,
	}
	if _, err := io.Copy(p, a.Body); err != nil {
		level.Warn(k.Log).Log("msg", "caller: answer cut off", "request", q.ID, "err", err)
		if a.Length < 0 && !r.ProtoAtLeast(1, 1) {
			reset(w)
		}
		// Without this the server would end the body as if it were whole.
		panic(http.ErrAbortHandler)
	}
}

// reset resets a caller's connection. The end of the connection would be the end of an
// answer that has neither a length nor chunks.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	x := c
	if t, ok := c.(*tls.Conn); ok {
		x = t.NetConn()
	}
	// The server may have wrapped the TCP connection.
	if t, ok := x.(interface{ SetLinger(sec int) error }); ok {
		_ = t.SetLinger(0)
	}
	// The end of TLS would pass for the end of the answer, too.
	_ = x.Close()
}
