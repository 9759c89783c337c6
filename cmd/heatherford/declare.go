package main

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"os"

	"heatherford/core/code"
	"heatherford/core/intent"
	"heatherford/io/operator"
)

const (
	declarationFile = "declaration.json"
	planFile        = "plan.json"
)

func validate(e *environment, args []string) error {
	f := newFlagSet(e, "validate")
	path := f.String("file", declarationFile, "the declaration's `file`")
	asJSON := f.Bool("json", false, "print JSON")
	if err := parse(f, args); err != nil {
		return err
	}
	b, err := os.ReadFile(*path)
	if err != nil {
		return err
	}
	_, problems := intent.Parse(b)
	if *asJSON {
		if err := printJSON(e.stdout, newValidation(problems)); err != nil {
			return err
		}
	}
	if len(problems) > 0 {
		return code.Wrap(code.DeclarationInvalid, errors.Join(problems...), "heatherford: the declaration is not valid")
	}
	if !*asJSON {
		fmt.Fprintln(e.stdout, "the declaration is valid")
	}
	return nil
}

// validation is what validate prints as JSON.
type validation struct {
	Valid    bool     `json:"valid"`
	Problems []string `json:"problems"`
}

func newValidation(problems []error) validation {
	v := validation{
		Valid:    len(problems) == 0,
		Problems: []string{},
	}
	for _, p := range problems {
		v.Problems = append(v.Problems, p.Error())
	}
	return v
}

func plan(e *environment, args []string) error {
	f, t := newFlags(e, "plan")
	path := f.String("file", declarationFile, "the declaration's `file`")
	o := newOutcome(f)
	if err := parse(f, args); err != nil {
		return err
	}
	b, err := os.ReadFile(*path)
	if err != nil {
		return err
	}
	p := operator.Plan{}
	if err := t.call(http.MethodPost, "/v1/plan", b, &p); err != nil {
		return err
	}
	return o.finish(e, t, p)
}

// outcome is what becomes of a plan.
type outcome struct {
	file      *string
	yes       *bool
	operation *string
}

func newOutcome(f *flag.FlagSet) *outcome {
	return &outcome{
		file:      f.String("out", planFile, "`file` to write the plan to"),
		yes:       f.Bool("yes", false, "confirm the plan at once"),
		operation: f.String("operation", rand.Text(), "stable `identifier` of the confirmation"),
	}
}

// finish shows p, writes it to its file and confirms it if that was asked for.
func (o *outcome) finish(e *environment, t *target, p operator.Plan) error {
	b, err := json.Marshal(p)
	if err != nil {
		return err
	}
	const mode = 0o600
	if err := os.WriteFile(*o.file, b, mode); err != nil {
		return err
	}
	if *t.asJSON {
		err = printJSON(e.stdout, p)
	} else {
		printPlan(e.stdout, p)
	}
	if err != nil || !*o.yes {
		return err
	}
	return t.confirm(e, p, *o.operation)
}

func confirm(e *environment, args []string) error {
	f, t := newFlags(e, "confirm")
	path := f.String("plan", planFile, "the plan's `file`")
	operation := f.String("operation", rand.Text(), "stable `identifier` of this confirmation; give it again to ask how it ended")
	if err := parse(f, args); err != nil {
		return err
	}
	b, err := os.ReadFile(*path)
	if err != nil {
		return err
	}
	p := operator.Plan{}
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	return t.confirm(e, p, *operation)
}

// confirm puts p in force. If the host's answer is lost, it says how to ask
// again.
func (t *target) confirm(e *environment, p operator.Plan, operation string) error {
	a := operator.Confirmed{}
	err := t.send("/v1/confirm", operator.Confirm{
		Plan:      p,
		Operation: operation,
	}, &a)
	lost := (*url.Error)(nil)
	if errors.As(err, &lost) {
		return code.Wrap(code.ConfirmUnknown, err, "heatherford: the host gave no answer; confirm again at any host with -operation %s", operation)
	}
	if err != nil {
		return err
	}
	if *t.asJSON {
		return printJSON(e.stdout, a)
	}
	fmt.Fprintf(e.stdout, "version %d is confirmed\n", a.Version)
	return nil
}
