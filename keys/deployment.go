package keys

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	certificateValidity = 30 * 24 * time.Hour
	// clockSkewAllowance predates a certificate, so that an instance whose clock is
	// behind accepts a new one.
	clockSkewAllowance = time.Hour
	serialBits         = 128
	privateMode        = 0o600
	publicMode         = 0o644
	directoryMode      = 0o700
)

// certificateAuthority is a CA that exists only during one call of WriteDeployment.
type certificateAuthority struct {
	certificate *x509.Certificate
	key         ed25519.PrivateKey
}

// WriteDeployment creates a CA and, for each name, a certificate with its private
// key, and writes ca.pem, NAME.pem and NAME.key to dir. The names are instance
// IDs. The CA's private key is not stored, so another call replaces the CA and
// every certificate; none can be added later under the same CA.
func WriteDeployment(dir string, names []string, now time.Time) error {
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return merry.Prepend(err, "create key directory")
	}

	ca, err := newAuthority(now)
	if err != nil {
		return err
	}

	if err := writePEM(filepath.Join(dir, "ca.pem"), "CERTIFICATE", ca.certificate.Raw, publicMode); err != nil {
		return err
	}

	for _, name := range names {
		if err := ca.writeInstance(dir, name, now); err != nil {
			return merry.Prependf(err, "create certificate of instance %s", name)
		}
	}

	return nil
}

func newAuthority(now time.Time) (*certificateAuthority, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, merry.Prepend(err, "generate CA key")
	}

	template, err := newTemplate("monsoonlever demo CA", now)
	if err != nil {
		return nil, err
	}

	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign

	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return nil, merry.Prepend(err, "sign CA certificate")
	}

	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, merry.Prepend(err, "parse CA certificate")
	}

	return &certificateAuthority{certificate: certificate, key: private}, nil
}

func newTemplate(name string, now time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, merry.Prepend(err, "generate serial number")
	}

	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkewAllowance),
		NotAfter:     now.Add(certificateValidity),
	}, nil
}

// writeInstance creates the certificate and private key of one instance and writes
// both.
func (a *certificateAuthority) writeInstance(dir, name string, now time.Time) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}

	template, err := newTemplate(name, now)
	if err != nil {
		return err
	}

	template.DNSNames = []string{name}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}

	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, public, a.key)
	if err != nil {
		return err
	}

	pkcs8, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return err
	}

	base := filepath.Join(dir, name)
	if err := writePEM(base+".pem", "CERTIFICATE", der, publicMode); err != nil {
		return err
	}

	return writePEM(base+".key", "PRIVATE KEY", pkcs8, privateMode)
}

func writePEM(path, block string, der []byte, mode os.FileMode) error {
	data := pem.EncodeToMemory(&pem.Block{Type: block, Bytes: der})
	if err := os.WriteFile(path, data, mode); err != nil {
		return merry.Prepend(err, "write PEM file")
	}

	return nil
}
