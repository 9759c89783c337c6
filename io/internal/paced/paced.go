// Package paced bounds the pauses between the bytes of a request's body or its answer.
package paced

import (
	"io"
	"net/http"
	"time"
)

// Reader reads a body whose sender has to keep sending. Its read deadline stays set after the
// last read.
type Reader struct {
	io.Reader
	Controller *http.ResponseController
	// Pause is the longest time without a byte.
	Pause time.Duration
}

// Read implements io.Reader.
func (r *Reader) Read(b []byte) (int, error) {
	// A writer without deadlines belongs to a test.
	_ = r.Controller.SetReadDeadline(time.Now().Add(r.Pause))
	return r.Reader.Read(b)
}

// Writer writes an answer to a receiver that has to keep taking it.
type Writer struct {
	io.Writer
	Controller *http.ResponseController
	// Pause is the longest time without progress.
	Pause time.Duration
}

// Write implements io.Writer.
func (w *Writer) Write(b []byte) (int, error) {
	_ = w.Controller.SetWriteDeadline(time.Now().Add(w.Pause))
	return w.Writer.Write(b)
}
