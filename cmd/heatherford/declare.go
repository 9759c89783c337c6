package main

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"

	"heatherford/core/intent"
	"heatherford/io/operator"
)

func validate(e *environment, args []string) error {
	f := flag.NewFlagSet("validate", flag.ContinueOnError)
	f.SetOutput(e.stderr)
	path := f.String("file", "declaration.json", "the declaration's `file`")
	if err := f.Parse(args); err != nil {
		return err
	}
	b, err := os.ReadFile(*path)
	if err != nil {
		return err
	}
	if _, problems := intent.Parse(b); len(problems) > 0 {
		return errors.Join(problems...)
	}
	fmt.Fprintln(e.stdout, "the declaration is valid")
	return nil
}

func plan(e *environment, args []string) error {
	f := flag.NewFlagSet("plan", flag.ContinueOnError)
	f.SetOutput(e.stderr)
	host := f.String("host", "http://127.0.0.1:7002", "`URL` of a host's operators' interface")
	path := f.String("file", "declaration.json", "the declaration's `file`")
	out := f.String("out", "plan.json", "`file` to write the plan to")
	if err := f.Parse(args); err != nil {
		return err
	}
	b, err := os.ReadFile(*path)
	if err != nil {
		return err
	}
	p := operator.Plan{}
	if err := call(http.MethodPost, *host+"/v1/plan", b, &p); err != nil {
		return err
	}
	printPlan(e.stdout, p)
	b, err = json.Marshal(p)
	if err != nil {
		return err
	}
	const mode = 0o600
	return os.WriteFile(*out, b, mode)
}

func confirm(e *environment, args []string) error {
	f := flag.NewFlagSet("confirm", flag.ContinueOnError)
	f.SetOutput(e.stderr)
	host := f.String("host", "http://127.0.0.1:7002", "`URL` of a host's operators' interface")
	path := f.String("plan", "plan.json", "the plan's `file`")
	operation := f.String("operation", rand.Text(), "stable `identifier` of this confirmation")
	if err := f.Parse(args); err != nil {
		return err
	}
	b, err := os.ReadFile(*path)
	if err != nil {
		return err
	}
	q := operator.Confirm{
		Operation: *operation,
	}
	if err := json.Unmarshal(b, &q.Plan); err != nil {
		return err
	}
	b, err = json.Marshal(q)
	if err != nil {
		return err
	}
	a := operator.Confirmed{}
	if err := call(http.MethodPost, *host+"/v1/confirm", b, &a); err != nil {
		return err
	}
	fmt.Fprintf(e.stdout, "version %d is confirmed\n", a.Version)
	return nil
}

func status(e *environment, args []string) error {
	f := flag.NewFlagSet("status", flag.ContinueOnError)
	f.SetOutput(e.stderr)
	host := f.String("host", "http://127.0.0.1:7002", "`URL` of a host's operators' interface")
	if err := f.Parse(args); err != nil {
		return err
	}
	a := operator.Status{}
	if err := call(http.MethodGet, *host+"/v1/status", nil, &a); err != nil {
		return err
	}
	fmt.Fprintf(e.stdout, "%s: version %d in force, %d hosts\n", a.Host, a.Version, a.Hosts)
	return nil
}
