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

// maxLoggedRemotes bounds the number of remotes in a refusalLog. A full log is
// cleared, after which remotes are logged again.
const maxLoggedRemotes = 1024

// refusalLog records for each refused remote the reason that was logged last, so
// that repeated refusals are logged once.
type refusalLog struct {
	mu         sync.Mutex
	lastReason map[string]Reason
}

// record stores the reason for the remote and reports whether it must be logged,
// that is, whether it differs from the last reason logged for the remote.
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

// reportRefusal counts a refused remote and logs it unless it was last logged
// with the same reason. Other handshake errors, such as a reset connection, are
// not refusals; of these, only malformed frames are counted.
func (n *Node) reportRefusal(address string, err error) {
	var refusal *RefusalError
	if !errors.As(err, &refusal) {
		countFrameError(err)

		return
	}

	refusedCounter(refusal.reason).Inc()

	// An incoming connection has another source port each time, so the log keeps
	// remotes by host.
	host, _, splitErr := net.SplitHostPort(address)
	if splitErr != nil {
		host = address
	}

	if n.refusals.record(host, refusal.reason) {
		klog.InfoS("peer refused", "remote", host, "reason", refusal.reason.String(), "err", err)
	}
}

// classifyHandshakeError returns a RefusalError for the handshake errors that a
// wrong or missing key causes on either side, and err itself for all others.
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
