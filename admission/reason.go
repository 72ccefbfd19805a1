package admission

// Reason is why a request was refused.
type Reason int

// The reasons.
const (
	// NoReason is the reason of a request that was not refused.
	NoReason Reason = iota
	// UnknownService means that the configuration in force does not name the service.
	UnknownService
	// UnknownAccount means that the configuration in force does not name the client account.
	UnknownAccount
	// RequestRate means that the account exceeds its requests per second.
	RequestRate
	// TokenRate means that the account exceeds its tokens per second.
	TokenRate
	// Concurrency means that the account has too many requests in progress.
	Concurrency
	// QueueFull means that the request did not fit in the queue, or was evicted from it for
	// another request.
	QueueFull
	// DeadlineTooShort means that the deadline cannot be met.
	DeadlineTooShort
	// Abandoned means that the caller stopped waiting.
	Abandoned
	// Withdrawn means that the service was removed from the configuration before the request
	// started.
	Withdrawn

	reasonCount
)

// String returns the name of the reason, in camel case as in metrics and messages.
func (r Reason) String() string {
	switch r {
	case NoReason:
		return "none"
	case UnknownService:
		return "unknownService"
	case UnknownAccount:
		return "unknownAccount"
	case RequestRate:
		return "requestRate"
	case TokenRate:
		return "tokenRate"
	case Concurrency:
		return "concurrency"
	case QueueFull:
		return "queueFull"
	case DeadlineTooShort:
		return "deadlineTooShort"
	case Abandoned:
		return "abandoned"
	case Withdrawn:
		return "withdrawn"
	default:
		return "unknown"
	}
}
