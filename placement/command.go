package placement

import (
	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// Command is an action that a Reconciler asks its caller to perform.
type Command interface {
	command()
}

// AppendCommand appends a record to the log. It has no response: the
// reconciler learns the result by reading the log.
type AppendCommand struct {
	Record Record
}

// BuyCommand makes a purchase. The caller reports the outcome once, by
// Reconciler.PurchaseFinished.
type BuyCommand struct {
	Token    Token
	Purchase provider.Purchase
}

// ListCommand lists the instances of the cloud API. The caller
// reports the result by Reconciler.ListFinished, with the same number.
type ListCommand struct {
	Number uint64
}

// DrainCommand stops new work on an instance. It is repeated until the instance
// is released, so it needs no response.
type DrainCommand struct {
	Instance fleet.InstanceID
}

// ReleaseCommand terminates an instance at the cloud API. It is repeated until a listing lacks
// the instance, so it needs no response.
type ReleaseCommand struct {
	Instance fleet.InstanceID
}

func (AppendCommand) command()  {}
func (BuyCommand) command()     {}
func (ListCommand) command()    {}
func (DrainCommand) command()   {}
func (ReleaseCommand) command() {}
