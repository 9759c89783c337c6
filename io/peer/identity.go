package peer

import (
	"context"
	"crypto/x509"
	"net/http"

	"github.com/twitchtv/twirp"
)

type certificateKey struct{}

// identified keeps the certificate of who calls for the handlers behind it.
func identified(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), certificateKey{}, r.TLS.PeerCertificates[0])))
	})
}

// checkName refuses a call of which the certificate is not the named host's. A
// call without TLS comes in only where the settings leave peers open.
func checkName(ctx context.Context, name string) error {
	c, ok := ctx.Value(certificateKey{}).(*x509.Certificate)
	if !ok {
		return nil
	}
	if err := c.VerifyHostname(name); err != nil {
		return twirp.NewError(twirp.PermissionDenied, err.Error())
	}
	return nil
}
