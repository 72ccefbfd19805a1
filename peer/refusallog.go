package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"strings"
	"sync"

	"k8s.io/klog/v2"
)

// maxLoggedRemotes bounds the memory of who was logged; past it all start anew.
const maxLoggedRemotes = 1024

// refusalLog remembers which remotes were logged as refused.
type refusalLog struct {
	mu         sync.Mutex
	lastReason map[string]Reason
}

// record reports whether the remote has not been logged with this reason.
func (r *refusalLog) record(remote string, reason Reason) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.lastReason == nil || len(r.lastReason) >= maxLoggedRemotes {
		r.lastReason = make(map[string]Reason)
	}

	if r.lastReason[remote] == reason {
		return false
	}

	r.lastReason[remote] = reason

	return true
}

// reportRefusal counts a refused remote and logs it once. Other failures of a
// handshake, such as a reset, are no refusal.
func (n *Node) reportRefusal(address string, err error) {
	var refusal *RefusalError
	if !errors.As(err, &refusal) {
		countFrameError(err)

		return
	}

	refusedCounter(refusal.reason).Inc()

	// The port of a remote that connects changes each time.
	host, _, splitErr := net.SplitHostPort(address)
	if splitErr != nil {
		host = address
	}

	if n.refusals.record(host, refusal.reason) {
		klog.InfoS("peer refused", "remote", host, "reason", refusal.reason.String(), "err", err)
	}
}

// classifyHandshakeError types the failures of a TLS handshake that a wrong or missing key
// causes on either side.
func classifyHandshakeError(err error) error {
	var (
		verification *tls.CertificateVerificationError
		authority    x509.UnknownAuthorityError
		invalid      x509.CertificateInvalidError
		alert        tls.AlertError
		record       tls.RecordHeaderError
		operation    *net.OpError
	)

	switch {
	case errors.As(err, &verification), errors.As(err, &authority), errors.As(err, &invalid),
		errors.As(err, &alert), errors.As(err, &record):
		return &RefusalError{reason: ReasonKey, cause: err}
	case errors.As(err, &operation) && operation.Op == "remote error":
		return &RefusalError{reason: ReasonKey, cause: err}
	case strings.HasPrefix(err.Error(), "tls: client didn't provide a certificate"):
		return &RefusalError{reason: ReasonKey, cause: err}
	default:
		return err
	}
}
