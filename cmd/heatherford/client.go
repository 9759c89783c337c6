package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"heatherford/core/code"
	"heatherford/io/operator"
)

const callTimeout = 30 * time.Second

// call sends in to a host's operators' interface and decodes the answer.
func call(method, url string, in []byte, out any) error {
	r, err := http.NewRequest(method, url, bytes.NewReader(in))
	if err != nil {
		return err
	}
	c := &http.Client{
		Timeout: callTimeout,
	}
	a, err := c.Do(r)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return err
	}
	if a.StatusCode != http.StatusOK {
		return refusal(b)
	}
	return json.Unmarshal(b, out)
}

func refusal(b []byte) error {
	e := struct {
		Code    code.Code `json:"code"`
		Message string    `json:"message"`
	}{}
	if err := json.Unmarshal(b, &e); err != nil || e.Code == 0 {
		return fmt.Errorf("heatherford: the host answered: %s", b)
	}
	return code.New(e.Code, "%s", e.Message)
}

func printPlan(w io.Writer, p operator.Plan) {
	fmt.Fprintf(w, "plan against version %d:\n", p.Base)
	if len(p.Changes) == 0 {
		fmt.Fprintln(w, "  nothing changes")
	}
	for _, c := range p.Changes {
		fmt.Fprintf(w, "  %s %s\n", c.Path, c.Text)
	}
}
