package answer

// Sink takes an answer. An error of it means that the caller is gone.
type Sink interface {
	Write(offset int, token string) error
	Complete(c Complete) error
	GiveUp(g GiveUp) error
}
