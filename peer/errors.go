package peer

import "github.com/ansel1/merry/v2"

// The errors that Send, Call and Run return.
var (
	// ErrQueueFull is returned when a message that must not be dropped finds
	// the remote's queue full.
	ErrQueueFull = merry.Sentinel("queue to remote is full")
	// ErrTooLarge is returned for a message above MaxBody.
	ErrTooLarge = merry.Sentinel("message is too large")
	// ErrNoAddress is returned for a target without an address.
	ErrNoAddress = merry.Sentinel("target has no address")
	// ErrSelf is returned for a target that is the node itself.
	ErrSelf = merry.Sentinel("target is this node")
	// ErrTimeout is returned by Call when no answer came in time. The request
	// may have been handled.
	ErrTimeout = merry.Sentinel("call timed out")
	// ErrUnreachable is returned by Call when the connection broke or could
	// not be made. The request may have been handled if it broke.
	ErrUnreachable = merry.Sentinel("remote is unreachable")
	// ErrStopped is returned once Run has ended.
	ErrStopped = merry.Sentinel("node is stopped")
	// ErrNoTLS is returned by Run for a node without TLS keys.
	ErrNoTLS = merry.Sentinel("node has no TLS keys")
)

// RemoteError is the failure a remote's call handler returned.
type RemoteError struct {
	message string
}

// Error returns the remote's message.
func (e *RemoteError) Error() string {
	return "remote: " + e.message
}
