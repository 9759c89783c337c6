package main

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"heatherford/core/code"
	"heatherford/io/operator"
)

const (
	// callTimeout bounds a call. The planning and confirming of a large
	// declaration takes longest.
	callTimeout = 3 * time.Minute
	// maxAnswerBytes bounds what is read of an answer.
	maxAnswerBytes = 128 << 20
	// defaultHost is the operators' interface of a host on this machine.
	defaultHost = "http://127.0.0.1:7002"
)

// Environment variables that stand for flags.
const (
	envHost      = "HEATHERFORD_HOST"
	envKeyFile   = "HEATHERFORD_KEY_FILE"
	envAuthority = "HEATHERFORD_AUTHORITY_FILE"
)

// target is the host that a subcommand speaks to, by the flags that all share.
type target struct {
	host      *string
	keyFile   *string
	authority *string
	operator  *string
	asJSON    *bool
}

// newFlags returns the flags of a subcommand with those that all share.
func newFlags(e *environment, name string) (*flag.FlagSet, *target) {
	f := newFlagSet(e, name)
	host := e.getenv(envHost)
	if host == "" {
		host = defaultHost
	}
	return f, &target{
		host:      f.String("host", host, "`URL` of a host's operators' interface, or "+envHost),
		keyFile:   f.String("key-file", e.getenv(envKeyFile), "`file` that holds the operator's key, or "+envKeyFile),
		authority: f.String("authority-file", e.getenv(envAuthority), "`file` with the certificates to trust, or "+envAuthority),
		operator:  f.String("operator", "", "the operator's `name`, for hosts that ask for no key"),
		asJSON:    f.Bool("json", false, "print JSON"),
	}
}

// newFlagSet returns the flags of a subcommand that speaks to no host.
func newFlagSet(e *environment, name string) *flag.FlagSet {
	f := flag.NewFlagSet(name, flag.ContinueOnError)
	f.SetOutput(e.stderr)
	return f
}

// parse parses args, which hold flags only.
func parse(f *flag.FlagSet, args []string) error {
	err := f.Parse(args)
	switch {
	case err == nil && f.NArg() == 0:
		return nil
	case err == nil:
		return wrongUsage("%s: unexpected argument %q", f.Name(), f.Arg(0))
	case errors.Is(err, flag.ErrHelp):
		return err
	default:
		return wrongUsage("%s: %v", f.Name(), err)
	}
}

// call sends in to the host's operators' interface and decodes the answer.
func (t *target) call(method, path string, in []byte, out any) error {
	body, err := t.open(method, path, in, callTimeout)
	if err != nil {
		return err
	}
	defer body.Close()
	b, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(b, out)
}

// open sends in to the host's operators' interface and returns the answer's
// body, which the caller closes. An answer other than 200 is an error.
func (t *target) open(method, path string, in []byte, timeout time.Duration) (io.ReadCloser, error) {
	r, err := http.NewRequest(method, *t.host+path, bytes.NewReader(in))
	if err != nil {
		return nil, err
	}
	if err := t.authorize(r); err != nil {
		return nil, err
	}
	c, err := t.client()
	if err != nil {
		return nil, err
	}
	c.Timeout = timeout
	a, err := c.Do(r)
	if err != nil {
		return nil, err
	}
	if a.StatusCode == http.StatusOK {
		return a.Body, nil
	}
	defer a.Body.Close()
	b, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	if err != nil {
		return nil, err
	}
	return nil, refusal(b)
}

// send is call with a message in JSON.
func (t *target) send(path string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return err
	}
	return t.call(http.MethodPost, path, b, out)
}

// authorize adds the operator's key, which no argument holds.
func (t *target) authorize(r *http.Request) error {
	if *t.operator != "" {
		r.Header.Set(operator.HeaderOperator, *t.operator)
	}
	if *t.keyFile == "" {
		return nil
	}
	b, err := os.ReadFile(*t.keyFile)
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(b)))
	return nil
}

func (t *target) client() (*http.Client, error) {
	c := &http.Client{}
	if *t.authority == "" {
		return c, nil
	}
	b, err := os.ReadFile(*t.authority)
	if err != nil {
		return nil, err
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, fmt.Errorf("heatherford: %s holds no certificate", *t.authority)
	}
	c.Transport = &http.Transport{
		TLSClientConfig: &tls.Config{
			RootCAs:    p,
			MinVersion: tls.VersionTLS13,
		},
	}
	return c, nil
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

func printJSON(w io.Writer, v any) error {
	return json.NewEncoder(w).Encode(v)
}
