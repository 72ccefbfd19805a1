package keys

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/ansel1/merry/v2"

	"monsoonlever/clock"
)

// InstanceTLS calls TLS and checks that the certificate is that of the instance
// with the given ID. It returns an error if remote instances that trust the same
// CA would reject the certificate: it names another ID, has expired, is not yet
// valid or was signed by another CA.
func (f Files) InstanceTLS(id string, c clock.Clock) (*tls.Config, error) {
	config, err := f.TLS(c)
	if err != nil {
		return nil, err
	}

	leaf := config.Certificates[0].Leaf
	if err := leaf.VerifyHostname(id); err != nil {
		return nil, merry.Prepend(err, f.Certificate)
	}

	own := tls.ConnectionState{PeerCertificates: []*x509.Certificate{leaf}}

	return config, merry.Prepend(config.VerifyConnection(own), f.Certificate)
}
