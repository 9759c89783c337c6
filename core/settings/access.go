package settings

import "net/netip"

// Operators says who may use the operators' interface. Either Open is set or
// KeysFile is.
type Operators struct {
	// Open lets everybody in. It is valid on a loopback address only.
	Open bool `json:"open,omitempty"`
	// KeysFile holds a name and a key on each line. It is read again when it
	// changes.
	KeysFile string `json:"keys_file,omitempty"`
	// TLS is required on an address that is not loopback.
	TLS TLS `json:"tls,omitempty"`
}

// Peers says how daemons authenticate each other. Either Open is set or TLS is.
type Peers struct {
	// Open lets every process in. It is valid on a loopback address only.
	Open bool `json:"open,omitempty"`
	// TLS is mutual: both sides show a certificate of the authority whose DNS
	// name is the host's name.
	TLS TLS `json:"tls,omitempty"`
	// Seeds are peer addresses to ask for the other hosts while the platform
	// is down at the start.
	Seeds []netip.AddrPort `json:"seeds,omitempty"`
}

// TLS names the files of a certificate. They are read again when they change.
// The zero value stands for no TLS.
type TLS struct {
	CertificateFile string `json:"certificate_file,omitempty"`
	KeyFile         string `json:"key_file,omitempty"`
	// AuthorityFile holds the certificates that peers' certificates are
	// checked against. Operators' TLS has none.
	AuthorityFile string `json:"authority_file,omitempty"`
}

// Enabled reports whether t names a certificate.
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
