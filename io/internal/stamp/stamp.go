package stamp

import (
	"net/http"

	"heatherford/core/timeline"
)

// Header is the header that holds a stamp.
const Header = "Heatherford-Clock"

// Handler serves peers: it observes the stamp of each call and answers with one
// later than all that next recorded before the answer's head.
func Handler(c *timeline.Clock, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		Observe(c, r.Header)
		next.ServeHTTP(&writer{
			ResponseWriter: w,
			clock:          c,
		}, r)
	})
}

// Observe takes the stamp of h, if there is one. A call with a stamp that
// cannot be read is served all the same.
func Observe(c *timeline.Clock, h http.Header) {
	t := h.Get(Header)
	if t == "" {
		return
	}
	if s, err := timeline.ParseStamp(t); err == nil {
		c.Observe(s)
	}
}

// writer adds the stamp to the head of an answer.
type writer struct {
	http.ResponseWriter
	clock *timeline.Clock
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(status int) {
	if !w.begun {
		w.begun = true
		w.Header().Set(Header, w.clock.Now().String())
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *writer) Write(b []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap lets http.ResponseController reach the server's writer.
func (w *writer) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// Transport calls peers: it sends a stamp with each call and observes that of
// the answer. It is safe for concurrent use.
type Transport struct {
	// Clock and Base are required.
	Clock *timeline.Clock
	Base  *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	q := r.Clone(r.Context())
	q.Header.Set(Header, t.Clock.Now().String())
	a, err := t.Base.RoundTrip(q)
	if err != nil {
		return nil, err
	}
	Observe(t.Clock, a.Header)
	a.Header.Del(Header)
	return a, nil
}

// CloseIdleConnections closes the connections that no call uses.
func (t *Transport) CloseIdleConnections() {
	t.Base.CloseIdleConnections()
}
