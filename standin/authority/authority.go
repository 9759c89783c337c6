package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"heatherford/core/settings"
)

const (
	fileMode = 0o600
	lifetime = 24 * time.Hour
	// serialBits is the length of serial numbers.
	serialBits = 64
)

// Authority signs certificates. It is not safe for concurrent use.
type Authority struct {
	dir         string
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

// New returns an authority whose certificate it writes to authority.pem in the
// directory.
func New(dir string) (*Authority, error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	t, err := template("authority")
	if err != nil {
		return nil, err
	}
	t.IsCA = true
	t.BasicConstraintsValid = true
	t.KeyUsage = x509.KeyUsageCertSign
	b, err := x509.CreateCertificate(rand.Reader, t, t, &k.PublicKey, k)
	if err != nil {
		return nil, err
	}
	c, err := x509.ParseCertificate(b)
	if err != nil {
		return nil, err
	}
	a := &Authority{
		dir:         dir,
		key:         k,
		certificate: c,
	}
	return a, a.write("authority.pem", "CERTIFICATE", b)
}

func template(name string) (*x509.Certificate, error) {
	n, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber: n,
		Subject: pkix.Name{
			CommonName: name,
		},
		NotBefore: time.Now().Add(-time.Hour),
		NotAfter:  time.Now().Add(lifetime),
	}, nil
}

func (a *Authority) write(name, kind string, b []byte) error {
	return os.WriteFile(filepath.Join(a.dir, name), pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: b,
	}), fileMode)
}

// Sign writes a certificate and a key for the host with the name, replacing those
// of before, and returns the settings that name them. The certificate is for
// 127.0.0.1 as well.
func (a *Authority) Sign(name string) (settings.TLS, error) {
	t := settings.TLS{
		CertificateFile: filepath.Join(a.dir, name+".pem"),
		KeyFile:         filepath.Join(a.dir, name+".key"),
		AuthorityFile:   filepath.Join(a.dir, "authority.pem"),
	}
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return t, err
	}
	c, err := template(name)
	if err != nil {
		return t, err
	}
	c.DNSNames = []string{name}
	c.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	c.KeyUsage = x509.KeyUsageDigitalSignature
	c.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	b, err := x509.CreateCertificate(rand.Reader, c, a.certificate, &k.PublicKey, a.key)
	if err != nil {
		return t, err
	}
	private, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		return t, err
	}
	if err := a.write(name+".key", "PRIVATE KEY", private); err != nil {
		return t, err
	}
	return t, a.write(name+".pem", "CERTIFICATE", b)
}
