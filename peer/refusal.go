package peer

import "fmt"

// Reason says why a remote was refused.
type Reason uint8

// The reasons for a refusal.
const (
	// ReasonKey is a missing key or one that the deployment's CA did not sign.
	ReasonKey Reason = iota + 1
	// ReasonHello is a first frame that is not a hello.
	ReasonHello
	// ReasonDeployment is a remote of another deployment.
	ReasonDeployment
	// ReasonIdentity is an instance ID that the certificate does not prove, or
	// this node's own.
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

// RefusalError reports a remote that may not exchange messages with this node.
type RefusalError struct {
	reason Reason
	cause  error
}

// Reason returns why the remote was refused.
func (e *RefusalError) Reason() Reason {
	return e.reason
}

// Unwrap returns the error behind the refusal, if there is one.
func (e *RefusalError) Unwrap() error {
	return e.cause
}

// Error describes the refusal.
func (e *RefusalError) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("remote refused: %s", e.reason)
	}

	return fmt.Sprintf("remote refused: %s: %v", e.reason, e.cause)
}
