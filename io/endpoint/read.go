package endpoint

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"

	"heatherford/io/internal/wire"
)

const (
	// atOnceBytes is the longest answer that is read without a share of heldBytes.
	atOnceBytes = 64 << 10
	// heldBytes bounds the longer answers that a host reads at a time, of all endpoints:
	// a quarter of the memory of a small host.
	heldBytes = 32 << 20
	// unstatedBytes is the longest answer that is taken without a stated length. Its
	// endpoint may never end it.
	unstatedBytes = 8 << 20
	// readBytes is the step in which a body is read.
	readBytes = 64 << 10
)

var (
	// errUnstated says that an answer without a stated length is too long.
	errUnstated = errors.New("endpoint: the answer does not end")
	// errHeld says that the host reads too many long answers.
	errHeld = errors.New("endpoint: too many long answers at a time")
)

// room is what is left of heldBytes. It is safe for concurrent use.
type room struct {
	held atomic.Int64
}

// take takes n bytes and reports whether there was room for them.
func (r *room) take(n int64) bool {
	if r.held.Add(n) > heldBytes {
		r.held.Add(-n)
		return false
	}
	return true
}

// read reads a body whole. It counts as held until it has been read.
func (r *room) read(a *wire.Reply) ([]byte, error) {
	if a.Length >= 0 && a.Length <= atOnceBytes {
		return io.ReadAll(a.Body)
	}
	b := bytes.Buffer{}
	held := int64(0)
	defer func() {
		r.held.Add(-held)
	}()
	for {
		n, err := io.CopyN(&b, a.Body, readBytes)
		switch {
		case errors.Is(err, io.EOF):
			return b.Bytes(), nil
		case err != nil:
			return nil, err
		case a.Length < 0 && b.Len() > unstatedBytes:
			return nil, errUnstated
		case !r.take(n):
			return nil, errHeld
		}
		held += n
	}
}
