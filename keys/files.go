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

// Files holds the paths of the PEM files with which one instance authenticates.
type Files struct {
	// CA is the path of the trusted CA certificates. While a CA is being
	// replaced, the file contains the old and the new one.
	CA string `json:"ca"`
	// Certificate is the path of the instance's certificate.
	Certificate string `json:"certificate"`
	// Key is the path of the instance's private key.
	Key string `json:"key"`
}

// TLS loads the files into a configuration for clients and servers. The
// configuration verifies the remote certificate against the CA; the caller must
// check the instance ID in that certificate.
func (f Files) TLS(c clock.Clock) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, merry.Prepend(err, "load instance certificate and key")
	}

	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, merry.Prepend(err, "read CA file")
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
		// The remote's ID is unknown before its hello message, so
		// VerifyConnection verifies only the chain, and the receiver of the
		// hello checks the ID.
		InsecureSkipVerify: true,
		// A resumed session would skip a changed CA.
		SessionTicketsDisabled: true,
	}, nil
}

// verifier verifies the remote certificate, for clients and servers alike.
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
