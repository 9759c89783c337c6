package sessions

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"heatherford/core/code"
	"heatherford/core/store"
	"heatherford/core/ticket"
	"heatherford/core/work"
)

// cmdTicket looks up and sets a variable to the ticket: ticket VAR URL [MODE]. It
// repeats the look-up until there is one of the mode, claimed if left out.
func cmdTicket(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg, "ticket")
	if len(args) < 2 {
		ts.Fatalf("usage: ticket VAR URL [MODE]")
	}
	mode := ticket.Claimed
	if len(args) > 2 {
		mode = ticket.Mode(args[2])
	}
	a := struct {
		Ticket string `json:"ticket"`
	}{}
	out := ""
	for end := time.Now().Add(untilDeadline); time.Now().Before(end); {
		out = body(ts, args[1])
		if json.Unmarshal([]byte(out), &a) == nil && modeOf(a.Ticket) == mode {
			ts.Setenv(args[0], a.Ticket)
			return
		}
		<-time.After(pollInterval)
	}
	ts.Fatalf("ticket: no ticket in %s", out)
}

// modeOf returns the mode of a ticket, or nothing if it is none.
func modeOf(token string) ticket.Mode {
	t := ticket.Ticket{}
	p := strings.Split(token, ".")
	const parts, payload = 4, 2
	if len(p) != parts {
		return ""
	}
	b, err := base64.RawURLEncoding.DecodeString(p[payload])
	if err != nil || json.Unmarshal(b, &t) != nil {
		return ""
	}
	return t.Mode
}

func body(ts *testscript.TestScript, url string) string {
	s, err := call(ts, []string{"GET", url})
	if err != nil {
		return err.Error()
	}
	return s[strings.LastIndex(s, "\n{")+1:]
}

// cmdFresh calls with a new ticket each until the work is run, sets a variable
// to the ticket and prints the result: fresh VAR LOOKUP METHOD URL....
func cmdFresh(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg, "fresh")
	if len(args) < 4 {
		ts.Fatalf("usage: fresh VAR LOOKUP METHOD URL [Header:Value]... [@FILE]")
	}
	out := ""
	for end := time.Now().Add(untilDeadline); time.Now().Before(end); {
		cmdTicket(ts, false, args[:2])
		s, err := call(ts, append(args[2:len(args):len(args)], work.HeaderTicket+":"+ts.Getenv(args[0])))
		ts.Check(err)
		out = s
		if !strings.Contains(out, work.HeaderOutcome+": "+string(code.NotRun)) {
			fmt.Fprint(ts.Stdout(), mask(ts, out))
			return
		}
		<-time.After(pollInterval)
	}
	ts.Fatalf("fresh: not run, last output:\n%s", out)
}

// cmdLeave makes a call and leaves after a while without its answer:
// leave DURATION METHOD URL....
func cmdLeave(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg, "leave")
	if len(args) < 3 {
		ts.Fatalf("usage: leave DURATION METHOD URL [Header:Value]... [@FILE]")
	}
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	r := newRequest(ts, args[1:])
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	a, err := http.DefaultClient.Do(r.WithContext(ctx))
	if err == nil {
		a.Body.Close()
		ts.Fatalf("leave: answered %s", a.Status)
	}
}

const sentKey = "sent"

// sent are the calls in progress, by name.
type sent map[string]chan string

// cmdSend makes a call in the background: send NAME METHOD URL....
func cmdSend(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg, "send")
	if len(args) < 3 {
		ts.Fatalf("usage: send NAME METHOD URL [Header:Value]... [@FILE]")
	}
	c := make(chan string, 1)
	ts.Value(sentKey).(sent)[args[0]] = c
	go func() {
		s, err := call(ts, args[1:])
		if err != nil {
			s = "no answer\n"
		}
		c <- s
	}()
}

// cmdSent waits for a call and prints its result: sent NAME.
func cmdSent(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg, "sent")
	select {
	case s := <-ts.Value(sentKey).(sent)[args[0]]:
		fmt.Fprint(ts.Stdout(), mask(ts, s))
	case <-time.After(untilDeadline):
		ts.Fatalf("sent: %s has no answer", args[0])
	}
}

// cmdDeadline sets a variable to the time after a duration: deadline VAR 10s.
func cmdDeadline(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg, "deadline")
	if len(args) != 2 {
		ts.Fatalf("usage: deadline VAR DURATION")
	}
	d, err := time.ParseDuration(args[1])
	ts.Check(err)
	ts.Setenv(args[0], time.Now().Add(d).UTC().Format(time.RFC3339Nano))
}

// cmdRows waits until the platform's table has the rows of tickets and keys:
// rows PLATFORM STATE=N..., the states being claimed, tombstone and recorded.
func cmdRows(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg, "rows")
	if len(args) < 2 {
		ts.Fatalf("usage: rows PLATFORM STATE=N...")
	}
	got := ""
	for end := time.Now().Add(untilDeadline); time.Now().Before(end); {
		n, err := countRows("http://" + args[0] + "/v1/read")
		got = fmt.Sprint(n, err)
		if err == nil && n.match(args[1:]) {
			return
		}
		<-time.After(pollInterval)
	}
	ts.Fatalf("rows: found %s", got)
}

// rowCounts are the numbers of rows by state.
type rowCounts map[string]int

func (n rowCounts) match(want []string) bool {
	for _, w := range want {
		s, v, _ := strings.Cut(w, "=")
		if fmt.Sprint(n[s]) != v {
			return false
		}
	}
	return true
}

func countRows(url string) (rowCounts, error) {
	q, err := json.Marshal(store.Query{
		Prefixes: []string{ticket.TicketRowPrefix, ticket.KeyRowPrefix},
	})
	if err != nil {
		return nil, err
	}
	a, err := http.Post(url, "application/json", bytes.NewReader(q))
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	x := struct {
		Rows []store.Row `json:"rows"`
	}{}
	if err := json.NewDecoder(a.Body).Decode(&x); err != nil {
		return nil, err
	}
	n := rowCounts{}
	for _, f := range x.Rows {
		r, err := ticket.DecodeRow(f.Value)
		if err != nil {
			return nil, err
		}
		n[rowState(r)]++
	}
	return n, nil
}

func rowState(r ticket.Row) string {
	switch {
	case r.Tombstone:
		return "tombstone"
	case r.Outcome != nil:
		return "recorded"
	default:
		return "claimed"
	}
}
