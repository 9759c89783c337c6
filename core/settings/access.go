package settings

import "net/netip"

// Operators configures access to the operators' interface. Exactly one of Open and
// KeysFile is set.
type Operators struct {
	// Open allows access without authentication. It is valid only if the
	// operator address is a loopback address.
	Open bool `json:"open,omitempty"`
	// KeysFile is the path of a file with an operator's name and key on each
	// line. The file is read again when it changes.
	KeysFile string `json:"keys_file,omitempty"`
	// TLS is required unless the operator address is a loopback address.
	TLS TLS `json:"tls,omitempty"`
}

// Peers configures how daemons authenticate each other. Exactly one of Open and
// TLS is set.
type Peers struct {
	// Open allows access without authentication. It is valid only if the peer
	// address is a loopback address.
	Open bool `json:"open,omitempty"`
	// TLS is mutual: both sides present a certificate that the authority signed
	// and whose DNS name is the host's name.
	TLS TLS `json:"tls,omitempty"`
	// Seeds are peer addresses from which a daemon learns of the other hosts if
	// the platform is down when the daemon starts.
	Seeds []netip.AddrPort `json:"seeds,omitempty"`
}

// TLS holds the paths of the PEM files of a certificate, its key and an authority.
// The files are read again when they change. The zero value means no TLS.
type TLS struct {
	CertificateFile string `json:"certificate_file,omitempty"`
	KeyFile         string `json:"key_file,omitempty"`
	// AuthorityFile holds the certificates of the authorities against which
	// peers' certificates are verified. It is not used for operators.
	AuthorityFile string `json:"authority_file,omitempty"`
}

// Enabled reports whether any of the files is set.
func (t TLS) Enabled() bool {
	return t != TLS{}
}

func (v *validator) checkOperators(o Operators, a netip.AddrPort) {
	switch {
	case o.Open && o.KeysFile != "":
		v.add("operators.open", "expected false next to keys_file, found true")
	case o.Open && !a.Addr().IsLoopback():
		v.add("operators.open", "expected false unless operator_address is a loopback address, found true")
	case !o.Open && o.KeysFile == "":
		v.add("operators", "expected keys_file, or open on a loopback address")
	case !a.Addr().IsLoopback() && !o.TLS.Enabled():
		v.add("operators.tls", "expected a certificate unless operator_address is a loopback address")
	}
	v.checkTLS("operators.tls", o.TLS)
}

func (v *validator) checkPeers(p Peers, a netip.AddrPort) {
	switch {
	case p.Open && p.TLS.Enabled():
		v.add("peers.open", "expected false next to tls, found true")
	case p.Open && !a.Addr().IsLoopback():
		v.add("peers.open", "expected false unless peer_address is a loopback address, found true")
	case !p.Open && !p.TLS.Enabled():
		v.add("peers", "expected tls, or open on a loopback address")
	}
	if p.TLS.Enabled() && p.TLS.AuthorityFile == "" {
		v.add("peers.tls.authority_file", "expected a file, found an empty string")
	}
	v.checkTLS("peers.tls", p.TLS)
}

func (v *validator) checkTLS(path string, t TLS) {
	if !t.Enabled() {
		return
	}
	if t.CertificateFile == "" {
		v.add(path+".certificate_file", "expected a file, found an empty string")
	}
	if t.KeyFile == "" {
		v.add(path+".key_file", "expected a file, found an empty string")
	}
}
