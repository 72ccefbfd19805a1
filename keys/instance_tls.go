package keys

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/ansel1/merry/v2"

	"monsoonlever/clock"
)

// InstanceTLS is TLS for the instance of an ID. It returns an error for a certificate
// that remotes with the same CA would not take from that instance.
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
