package peer

import "github.com/ansel1/merry/v2"

// The errors that Send, Call and Run return.
var (
	// ErrQueueFull is returned for a message of a kind that is not droppable
	// when the remote's queue is full.
	ErrQueueFull = merry.Sentinel("queue to remote is full")
	// ErrTooLarge is returned for a message whose body exceeds MaxBody bytes.
	ErrTooLarge = merry.Sentinel("message is too large")
	// ErrNoAddress is returned for a target without an address.
	ErrNoAddress = merry.Sentinel("target has no address")
	// ErrSelf is returned for a target that is the node itself.
	ErrSelf = merry.Sentinel("target is this node")
	// ErrTimeout is returned by Call when no response arrived within
	// CallTimeout. The remote may have handled the request.
	ErrTimeout = merry.Sentinel("call timed out")
	// ErrUnreachable is returned by Call when the connection broke or could
	// not be established. If it broke, the remote may have handled the request.
	ErrUnreachable = merry.Sentinel("remote is unreachable")
	// ErrStopped is returned by Send and Call once the node has stopped.
	ErrStopped = merry.Sentinel("node is stopped")
	// ErrNoTLS is returned by Run for a node without TLS keys.
	ErrNoTLS = merry.Sentinel("node has no TLS keys")
)

// RemoteError is a failure that a remote sent in response to a request: an error
// of its handler, an undecodable body, a missing handler or too many running
// requests.
type RemoteError struct {
	message string
}

// Error returns the remote's message.
func (e *RemoteError) Error() string {
	return "remote: " + e.message
}
