package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/ansel1/merry/v2"

	"monsoonlever/clock"
)

// ErrNoCertificate is returned for a CA file without a certificate.
var ErrNoCertificate = merry.Sentinel("no certificate in file")

// Files names the PEM files of one instance's keys.
type Files struct {
	// CA holds the certificates of the CAs that are trusted; while a CA is
	// being replaced it holds both.
	CA string `json:"ca"`
	// Certificate holds the instance's certificate.
	Certificate string `json:"certificate"`
	// Key holds the instance's private key.
	Key string `json:"key"`
}

// TLS loads the files into a configuration for both ends of a connection. It
// verifies the remote's certificate against the CA; the caller checks the
// instance ID in it.
func (f Files) TLS(c clock.Clock) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, merry.Prepend(err, "load instance key")
	}

	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, merry.Prepend(err, "load CA")
	}

	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, merry.Prepend(ErrNoCertificate, f.CA)
	}

	v := verifier{roots: roots, clock: c}

	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		Certificates:     []tls.Certificate{pair},
		ClientAuth:       tls.RequireAnyClientCert,
		VerifyConnection: v.verify,
		Time:             c.Now,
		// The remote's name is unknown before its hello, so VerifyConnection
		// verifies the chain and the receiver of the hello checks the name.
		InsecureSkipVerify: true,
		// A resumed session would skip a changed CA.
		SessionTicketsDisabled: true,
	}, nil
}

// verifier verifies a remote's certificate on both ends of a connection.
type verifier struct {
	roots *x509.CertPool
	clock clock.Clock
}

func (v verifier) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return ErrNoCertificate
	}

	leaf := state.PeerCertificates[0]
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:       v.roots,
		CurrentTime: v.clock.Now(),
		KeyUsages:   []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return &tls.CertificateVerificationError{UnverifiedCertificates: state.PeerCertificates, Err: err}
	}

	return nil
}
