package keepalive

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// Who ended a connection.
const (
	byClient = "client"
	byHost   = "host"
)

// How a connection ended.
const (
	// howClosed is also the end of a client that closes only its sending half.
	howClosed   = "closed"
	howReset    = "reset"
	howIdle     = "idle"
	howStop     = "stop"
	howDeadline = "deadline"
	howError    = "error"
)

// ending is how a connection ended. The zero value stands for one that has not.
type ending struct {
	by  string
	how string
	err error
}

// endingOf returns how a connection ended that fails with the error.
func endingOf(err error) ending {
	e := ending{
		by:  byClient,
		how: howError,
		err: err,
	}
	switch {
	case errors.Is(err, io.EOF):
		e.how = howClosed
		e.err = nil
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		e.how = howReset
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.by = byHost
		e.how = howDeadline
	case errors.Is(err, net.ErrClosed):
		e.by = byHost
		e.how = howClosed
	}
	return e
}

// end records how the connection ended, unless it has ended before. The caller holds mu.
func (c *conn) end(e ending) {
	if c.ending.by == "" {
		c.ending = e
	}
}

// tell logs the end once. The caller holds mu.
func (c *conn) tell() {
	if c.told {
		return
	}
	c.told = true
	c.server.options.Log("request", c.request, "from", c.RemoteAddr(), "state", c.phase, "by", c.ending.by, "how", c.ending.how,
		"for", time.Since(c.since), "err", c.ending.err)
}
