package wire

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// keepShare is the part of a peer's stated idle timeout for which a connection
// is used.
const keepShare = 0.8

// reply checks the answer's head and reads a small body whole. With written
// false the peer answered before it had the request, whose connection can
// carry nothing more.
func (x *exchange) reply(a *http.Response, written bool) (*Reply, error) {
	if err := x.check(a); err != nil {
		return nil, x.fail(StepHead, err)
	}
	x.conn.budget = x.pool.options.MaxAnswer + maxHeadBytes
	x.conn.keep = x.pool.keepOf(a.Header)
	b := &body{
		exchange: x,
		source:   a.Body,
		keep:     written && !a.Close,
		left:     x.pool.options.MaxAnswer,
	}
	r := &Reply{
		Status: a.StatusCode,
		Header: a.Header,
		Body:   b,
		Length: a.ContentLength,
	}
	if a.ContentLength > int64(x.pool.options.Whole) {
		x.streamed = true
		return r, nil
	}
	return x.whole(r, b)
}

// check returns an error unless the answer names the request, and no other, and its
// own end can be known.
func (x *exchange) check(a *http.Response) error {
	if n := x.pool.options.IDHeader; n != "" && (a.Header.Get(n) != x.call.ID || len(a.Header.Values(n)) > 1) {
		return ErrForeign
	}
	chunked := len(a.TransferEncoding) > 0
	empty := x.call.Method == http.MethodHead || a.StatusCode == http.StatusNoContent || a.StatusCode == http.StatusNotModified
	if a.ContentLength < 0 && !chunked && !empty && !x.pool.options.CloseFramed {
		return ErrFraming
	}
	if a.ContentLength > x.pool.options.MaxAnswer {
		return ErrTooLarge
	}
	return nil
}

// keepOf returns how long a connection may stay unused after an answer with the
// header. A peer that states a time closes the connection after it, so that a
// part of it is left for what may be on its way.
func (p *Pool) keepOf(h http.Header) time.Duration {
	for _, f := range strings.Split(h.Get("Keep-Alive"), ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(f), "=")
		n, err := strconv.Atoi(v)
		if k == "timeout" && err == nil && n >= 0 {
			return min(p.options.Idle, time.Duration(float64(n)*keepShare*float64(time.Second)))
		}
	}
	return p.options.Idle
}

// whole reads a body of up to Options.Whole bytes. A longer one without a
// stated length is streamed from its beginning.
func (x *exchange) whole(r *Reply, b *body) (*Reply, error) {
	start, err := io.ReadAll(io.LimitReader(b, int64(x.pool.options.Whole)+1))
	if err != nil {
		return nil, err
	}
	if len(start) > x.pool.options.Whole {
		x.streamed = true
		r.Body = &joined{
			Reader: io.MultiReader(bytes.NewReader(start), b),
			body:   b,
		}
		return r, nil
	}
	_ = b.Close()
	r.Body = io.NopCloser(bytes.NewReader(start))
	if x.call.Method != http.MethodHead {
		r.Length = int64(len(start))
	}
	return r, nil
}

// joined is a body whose beginning was read before.
type joined struct {
	io.Reader
	body *body
}

// Close implements io.Closer.
func (j *joined) Close() error {
	return j.body.Close()
}

// body is an answer's body on its connection. Only its receiver uses it.
type body struct {
	exchange *exchange
	source   io.Reader
	// keep is true if the connection may carry another request after a whole
	// answer.
	keep bool
	// left is the number of bytes that may still come.
	left int64
	// err is how reading ended; it is nil before.
	err  error
	once sync.Once
}

// Read implements io.Reader. It returns io.EOF only after a whole answer with
// nothing behind it.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	x := b.exchange
	x.conn.within(x.progressDeadline(bodySilence))
	n, err := b.source.Read(p)
	b.left -= int64(n)
	switch {
	case b.left < 0:
		err = ErrTooLarge
	case errors.Is(err, io.EOF) && x.conn.stray():
		err = ErrTrailing
	}
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		b.err = io.EOF
		b.finish()
		return n, io.EOF
	}
	b.once.Do(func() {
		b.err = x.fail(StepBody, err)
	})
	return 0, b.err
}

// finish gives the connection back after a whole answer.
func (b *body) finish() {
	b.once.Do(func() {
		x := b.exchange
		if x.unwatch() && b.keep {
			x.pool.give(x.conn)
			return
		}
		x.pool.discard(x.conn)
	})
}

// Close implements io.Closer. A body that was not read to its end takes its
// connection with it.
func (b *body) Close() error {
	b.once.Do(func() {
		b.err = http.ErrBodyReadAfterClose
		b.exchange.unwatch()
		b.exchange.pool.discard(b.exchange.conn)
	})
	return nil
}
