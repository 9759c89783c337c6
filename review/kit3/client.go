package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// question is a client's request.
type question struct {
	host   string
	method string
	target string
	// name is the value of the header Host.
	name     string
	deadline time.Duration
	body     []byte
	// rate is the most bytes of the body that the client sends in a second; 0 stands for no
	// bound.
	rate int
}

// outcome is what a client saw of a request.
type outcome struct {
	id     string
	host   string
	target string
	sent   time.Time
	// written is when the last byte was sent, or zero.
	written time.Time
	ended   time.Time
	// status is 0 if there was no whole answer.
	status int
	header http.Header
	body   string
	err    error
	// used is true if the connection had carried a request before.
	used bool
}

// ids numbers the requests of a case.
var ids atomic.Int64

// newID returns an identifier that no other request of the case has.
func newID() string {
	return fmt.Sprintf("%012x", 0x52_0000_0000+ids.Add(1))
}

// client sends requests over a connection that it keeps. It is not safe for concurrent use.
type client struct {
	world  *world
	conn   net.Conn
	reader *bufio.Reader
	host   string
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// ask sends a request and waits for its answer.
func (c *client) ask(q question) outcome {
	o := outcome{
		id:     newID(),
		host:   q.host,
		target: q.target,
		sent:   time.Now(),
	}
	c.exchange(q, &o)
	o.ended = time.Now()
	if o.err != nil {
		c.close()
	}
	c.world.record.add("asked", "id", o.id, "host", q.host, "method", q.method, "target", q.target, "bytes", len(q.body),
		"status", o.status, "answer", o.body[:min(len(o.body), 100)], "code", o.header.Get("Heatherford-Code"), "err", o.err, "took", o.ended.Sub(o.sent).Round(time.Millisecond))
	return o
}

func (c *client) exchange(q question, o *outcome) {
	end := o.sent.Add(q.deadline)
	if c.conn == nil || c.host != q.host {
		c.close()
		d := net.Dialer{
			Timeout: time.Second,
		}
		x, err := d.Dial("tcp", q.host)
		if err != nil {
			o.err = err
			return
		}
		c.conn = x
		c.host = q.host
		c.reader = bufio.NewReader(x)
	} else {
		o.used = true
	}
	if o.err = c.conn.SetDeadline(end); o.err != nil {
		return
	}
	b := bytes.Buffer{}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", q.method, q.target, q.name, headerID, o.id,
		headerDeadline, q.deadline.Milliseconds())
	if len(q.body) > 0 || q.method == http.MethodPost || q.method == http.MethodPut {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	if _, o.err = c.conn.Write(b.Bytes()); o.err != nil {
		return
	}
	// After an error the answer may be there: a host may answer before it has read all.
	o.err = c.writeBody(q)
	o.written = time.Now()
	a, err := http.ReadResponse(c.reader, &http.Request{
		Method: q.method,
	})
	if err != nil {
		o.err = errors.Join(o.err, err)
		return
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		o.err = err
		return
	}
	o.status = a.StatusCode
	o.header = a.Header
	o.body = string(text)
	if o.err != nil || a.Close {
		c.close()
	}
	o.err = nil
}

// writeBody sends the body, no faster than the client's rate.
func (c *client) writeBody(q question) error {
	const step = 128 << 10
	began := time.Now()
	for n := 0; n < len(q.body); n += step {
		if _, err := c.conn.Write(q.body[n:min(n+step, len(q.body))]); err != nil {
			return err
		}
		if q.rate > 0 {
			time.Sleep(time.Until(began.Add(time.Duration(float64(n+step) / float64(q.rate) * float64(time.Second)))))
		}
	}
	return nil
}
