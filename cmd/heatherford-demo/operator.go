package main

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"heatherford/core/intent"
	"heatherford/io/operator"
)

// plan asks the first daemon what d would change.
func (w *world) plan(d *intent.Declaration) (operator.Plan, error) {
	p := operator.Plan{}
	err := w.post("/v1/plan", d, &p)
	return p, err
}

// confirm puts p in force and returns the version's number.
func (w *world) confirm(p operator.Plan) (uint64, error) {
	a := operator.Confirmed{}
	err := w.post("/v1/confirm", operator.Confirm{
		Plan:      p,
		Operation: rand.Text(),
	}, &a)
	return a.Version, err
}

func (w *world) post(path string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return err
	}
	url := "http://" + w.daemons[0].settings.OperatorAddress.String() + path
	a, err := w.client.Post(url, "application/json", bytes.NewReader(b))
	if err != nil {
		return err
	}
	defer a.Body.Close()
	b, err = io.ReadAll(a.Body)
	if err != nil {
		return err
	}
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d: %s", path, a.StatusCode, b)
	}
	return json.Unmarshal(b, out)
}
