package peer

import "fmt"

// Reason is the reason why a remote was refused.
type Reason uint8

// The reasons for a refusal.
const (
	// ReasonKey is a rejected TLS handshake, such as for a missing certificate or
	// one that the deployment's CA did not sign.
	ReasonKey Reason = iota + 1
	// ReasonHello is a first frame that is not a hello.
	ReasonHello
	// ReasonDeployment is a remote of another deployment.
	ReasonDeployment
	// ReasonIdentity is an instance ID that is not a DNS name of the remote's
	// certificate, is the node's own, or is not the one that a message is
	// addressed to.
	ReasonIdentity
)

// String returns the reason's label in counters and logs.
func (r Reason) String() string {
	switch r {
	case ReasonKey:
		return "key"
	case ReasonHello:
		return "hello"
	case ReasonDeployment:
		return "deployment"
	case ReasonIdentity:
		return "identity"
	default:
		return "unknown"
	}
}

// RefusalError is returned for a remote that may not exchange messages with this
// node.
type RefusalError struct {
	reason Reason
	cause  error
}

// Reason returns why the remote was refused.
func (e *RefusalError) Reason() Reason {
	return e.reason
}

// Unwrap returns the error that caused the refusal, or nil.
func (e *RefusalError) Unwrap() error {
	return e.cause
}

// Error returns the reason for the refusal and the error that caused it.
func (e *RefusalError) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("remote refused: %s", e.reason)
	}

	return fmt.Sprintf("remote refused: %s: %v", e.reason, e.cause)
}
