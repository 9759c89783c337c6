package wire_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// forged is what reads like a whole answer to the request, within the body of another one.
const forged = "HTTP/1.1 200 OK\nRequest-Id: ID\nContent-Length: 6\n\nforged"

// checkNoAnswer checks that what a peer says is refused at once and that no further request goes
// over its connection, whatever the kind of call.
func checkNoAnswer(t *testing.T, text string) {
	for peer, o := range peers() {
		for _, once := range []bool{false, true} {
			t.Run(fmt.Sprint(peer, "/", once), func(t *testing.T) {
				s := newScripted(t, o, say(text), say(wholeAnswer))
				began := time.Now()
				_, body, err := s.do(call("q1", once))
				s.c.Check(err, qt.IsNotNil)
				s.c.Check(body, qt.Equals, "")
				s.c.Check(time.Since(began) < 500*time.Millisecond, qt.IsTrue)
				_, _, _ = s.do(call("q2", once))
				s.c.Check(s.opened, qt.Equals, 2)
			})
		}
	}
}

// TestStatusOfNoAnswer guards against an endpoint in trouble whose status is none: it passes for an
// interim answer, so that the caller waits for another one, or gets what stands in its body as the
// answer.
func TestStatusOfNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "020", "099", "+00", "-00", "+20", "600", "700", "999", "0", "00", "20", "1000", "2e2", "0x1", "２００"} {
		for name, text := range map[string]string{
			"alone":     "Content-Length: 0\n\n",
			"no length": "\n",
			"body":      "Content-Length: 5\n\nwhole",
			"forged":    fmt.Sprintf("Content-Length: %d\n\n%s", len(raw(forged, "q1")), forged),
		} {
			t.Run(status+"/"+name, func(t *testing.T) {
				checkNoAnswer(t, "HTTP/1.1 "+status+" Odd\nRequest-Id: ID\n"+text)
			})
		}
	}
}

// TestInterimWithBody guards against an interim answer whose body is taken for the answer: none has
// a body.
func TestInterimWithBody(t *testing.T) {
	for _, status := range []string{"100 Continue", "102 Processing", "103 Early Hints", "199 Odd"} {
		n := len(raw(forged, "q1"))
		for name, text := range map[string]string{
			"length":       fmt.Sprintf("Content-Length: %d\n\n%s", n, forged),
			"other case":   fmt.Sprintf("content-length:%d\n\n%s", n, forged),
			"chunks":       fmt.Sprintf("Transfer-Encoding: chunked\n\n%x\n%s\n0\n\n", n, forged),
			"odd encoding": "Transfer-Encoding: identity\n\n" + forged,
		} {
			t.Run(status+"/"+name, func(t *testing.T) {
				checkNoAnswer(t, "HTTP/1.1 "+status+"\nRequest-Id: ID\n"+text)
			})
		}
	}
}

// TestInterimAnswers checks that interim answers without a body are passed over, and that all
// statuses of answers are taken.
func TestInterimAnswers(t *testing.T) {
	for _, before := range []string{
		"HTTP/1.1 103 Early Hints\nLink: </a>\n\n",
		"HTTP/1.1 100 Continue\nContent-Length: 0\n\n",
		"HTTP/1.1 102\n\n",
	} {
		s := newScripted(t, peers()["lenient"], say(before+wholeAnswer))
		_, body, err := s.do(call("q1", false))
		s.c.Check(err, qt.IsNil)
		s.c.Check(body, qt.Equals, "whole")
	}
	for _, status := range []string{"200", "226 IM Used", "299", "404", "599 Odd"} {
		s := newScripted(t, peers()["lenient"], say(strings.Replace(wholeAnswer, "200 OK", status, 1)))
		a, _, err := s.do(call("q1", false))
		s.c.Assert(err, qt.IsNil)
		s.c.Check(fmt.Sprint(a.Status), qt.Equals, status[:3])
	}
}
