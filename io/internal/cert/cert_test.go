package cert_test

import (
	"crypto/tls"
	"math/big"
	"net"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"heatherford/core/settings"
	"heatherford/io/internal/cert"
	"heatherford/standin/authority"
)

func sign(c *qt.C, a *authority.Authority, name string) settings.TLS {
	t, err := a.Sign(name)
	c.Assert(err, qt.IsNil)
	return t
}

func source(c *qt.C, t settings.TLS) *cert.Source {
	s, err := cert.New(t)
	c.Assert(err, qt.IsNil)
	return s
}

// connect makes a connection and returns the server's serial number, or the error
// of the side that refused.
func connect(c *qt.C, server, client *tls.Config) (*big.Int, error) {
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	c.Assert(err, qt.IsNil)
	defer l.Close()
	refused := make(chan error, 1)
	go func() {
		x, err := l.Accept()
		if err == nil {
			defer x.Close()
			err = x.(*tls.Conn).Handshake()
		}
		refused <- err
	}()
	y, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	defer y.Close()
	t := tls.Client(y, client)
	err = t.Handshake()
	if err != nil {
		y.Close()
	}
	if other := <-refused; err == nil {
		err = other
	}
	if err != nil {
		return nil, err
	}
	return t.ConnectionState().PeerCertificates[0].SerialNumber, nil
}

func TestConfigPeersKnowEachOther(t *testing.T) {
	c := qt.New(t)
	a, err := authority.New(c.TempDir())
	c.Assert(err, qt.IsNil)
	foreign, err := authority.New(c.TempDir())
	c.Assert(err, qt.IsNil)
	h1 := source(c, sign(c, a, "h1"))
	h2 := source(c, sign(c, a, "h2"))
	h3 := source(c, sign(c, foreign, "h3"))

	for _, name := range []string{"h1", ""} {
		_, err = connect(c, h1.Server(), h2.Client(name))
		c.Assert(err, qt.IsNil)
		_, err = connect(c, h3.Server(), h2.Client(name))
		c.Assert(err, qt.ErrorMatches, ".*(unknown authority|not h1).*")
		_, err = connect(c, h1.Server(), h3.Client(name))
		c.Assert(err, qt.IsNotNil)
	}
	_, err = connect(c, h1.Server(), h2.Client("h9"))
	c.Assert(err, qt.ErrorMatches, ".*not h9.*")
	_, err = connect(c, h1.Server(), &tls.Config{
		InsecureSkipVerify: true,
	})
	c.Assert(err, qt.ErrorMatches, ".*didn't provide a certificate.*")
}

func TestConfigCertificatesAreReadAgain(t *testing.T) {
	c := qt.New(t)
	a, err := authority.New(c.TempDir())
	c.Assert(err, qt.IsNil)
	files := sign(c, a, "h1")
	h1 := source(c, files)
	h2 := source(c, sign(c, a, "h2"))
	first, err := connect(c, h1.Server(), h2.Client("h1"))
	c.Assert(err, qt.IsNil)
	server := h1.Server()
	sign(c, a, "h1")
	second, err := connect(c, server, h2.Client("h1"))
	c.Assert(err, qt.IsNil)
	c.Assert(second.Cmp(first), qt.Not(qt.Equals), 0)

	// A file that is half written does not take the certificate away.
	const mode = 0o600
	c.Assert(os.WriteFile(files.KeyFile, []byte("half"), mode), qt.IsNil)
	third, err := connect(c, server, h2.Client("h1"))
	c.Assert(err, qt.IsNil)
	c.Assert(third.Cmp(second), qt.Equals, 0)

	_, err = cert.New(files)
	c.Assert(err, qt.ErrorMatches, ".*cert: the certificate.*")
}
