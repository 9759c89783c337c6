package cert

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"heatherford/core/code"
	"heatherford/core/settings"
)

// Source holds a certificate and the authority that peers are checked against.
// It is safe for concurrent use.
type Source struct {
	settings settings.TLS

	mu sync.Mutex
	// read is the state of the files when the rest was read from them.
	read [3]fileState
	// certificate and pool are as last read whole; pool is nil without an
	// authority.
	certificate *tls.Certificate
	pool        *x509.CertPool
}

type fileState struct {
	size    int64
	changed time.Time
}

// New returns a source for the files. It returns an error if they cannot be used.
func New(t settings.TLS) (*Source, error) {
	s := &Source{
		settings: t,
	}
	if err := s.refresh(); err != nil {
		return nil, err
	}
	return s, nil
}

// refresh reads the files again if one has changed. While they cannot be read
// whole, what was read before holds.
func (s *Source) refresh() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, err := s.state()
	if err != nil || now == s.read {
		return err
	}
	c, err := tls.LoadX509KeyPair(s.settings.CertificateFile, s.settings.KeyFile)
	if err != nil {
		return code.Wrap(code.SettingsUnreadable, err, "cert: the certificate")
	}
	pool := (*x509.CertPool)(nil)
	if s.settings.AuthorityFile != "" {
		pool, err = readPool(s.settings.AuthorityFile)
		if err != nil {
			return err
		}
	}
	s.read = now
	s.certificate = &c
	s.pool = pool
	return nil
}

func (s *Source) state() ([3]fileState, error) {
	a := [3]fileState{}
	for i, f := range []string{s.settings.CertificateFile, s.settings.KeyFile, s.settings.AuthorityFile} {
		if f == "" {
			continue
		}
		x, err := os.Stat(f)
		if err != nil {
			return a, code.Wrap(code.SettingsUnreadable, err, "cert: cannot read a file")
		}
		a[i] = fileState{
			size:    x.Size(),
			changed: x.ModTime(),
		}
	}
	return a, nil
}

func readPool(path string) (*x509.CertPool, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, code.Wrap(code.SettingsUnreadable, err, "cert: the authority")
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, code.New(code.SettingsUnreadable, "cert: %s holds no certificate", path)
	}
	return p, nil
}

// current returns the newest certificate and authority that could be read.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	// What was read before holds while the files cannot be read.
	_ = s.refresh()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.certificate, s.pool
}

// Server returns the settings of a listener. With an authority, clients have to
// show a certificate that it signed.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			c, pool := s.current()
			t := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*c},
				NextProtos:   []string{"http/1.1"},
			}
			if pool != nil {
				t.ClientAuth = tls.RequireAndVerifyClientCert
				t.ClientCAs = pool
			}
			return t, nil
		},
	}
}

// Client returns the settings for a connection to the server with the name, or
// to any server that the authority signed for if the name is empty.
func (s *Source) Client(name string) *tls.Config {
	c, pool := s.current()
	t := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*c},
		RootCAs:      pool,
		ServerName:   name,
	}
	if name == "" {
		// The chain is checked below, the name is not known yet.
		t.InsecureSkipVerify = true
		t.VerifyConnection = func(x tls.ConnectionState) error {
			return verify(x, pool)
		}
	}
	return t
}

// verify checks a server's chain without its name.
func verify(x tls.ConnectionState, pool *x509.CertPool) error {
	o := x509.VerifyOptions{
		Roots:         pool,
		Intermediates: x509.NewCertPool(),
	}
	for _, c := range x.PeerCertificates[1:] {
		o.Intermediates.AddCert(c)
	}
	_, err := x.PeerCertificates[0].Verify(o)
	return err
}
