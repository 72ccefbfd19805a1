package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
	"testing"
	"time"

	"monsoonlever/clock"
)

func TestWriteDeploymentCreatesVerifiableCertificates(t *testing.T) {
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	dir, other := t.TempDir(), t.TempDir()

	for _, d := range []string{dir, other} {
		if err := WriteDeployment(d, []string{"entry-1"}, now); err != nil {
			t.Fatal(err)
		}
	}

	info, err := os.Stat(filepath.Join(dir, "entry-1.key"))
	if err != nil {
		t.Fatal(err)
	}

	if got, want := info.Mode().Perm(), os.FileMode(privateMode); got != want {
		t.Errorf("mode of key: got %v, want %v", got, want)
	}

	tests := []struct {
		desc string
		ca   string
		at   time.Time
		want bool
	}{
		{desc: "own CA", ca: dir, at: now, want: true},
		{desc: "another CA", ca: other, at: now, want: false},
		{desc: "expired", ca: dir, at: now.Add(certificateValidity + time.Second), want: false},
		{desc: "not yet valid", ca: dir, at: now.Add(-2 * clockSkewAllowance), want: false},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			files := Files{
				CA:          filepath.Join(tt.ca, "ca.pem"),
				Certificate: filepath.Join(dir, "entry-1.pem"),
				Key:         filepath.Join(dir, "entry-1.key"),
			}

			config, err := files.TLS(clock.NewManual(tt.at))
			if err != nil {
				t.Fatal(err)
			}

			leaf := config.Certificates[0].Leaf
			err = config.VerifyConnection(tls.ConnectionState{PeerCertificates: []*x509.Certificate{leaf}})

			if got := err == nil; got != tt.want {
				t.Errorf("verified: got %v (%v), want %v", got, err, tt.want)
			}
		})
	}
}
