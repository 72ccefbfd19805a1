package placement

import (
	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// Command is what a Reconciler asks its shell to do.
type Command interface {
	command()
}

// AppendCommand appends a record to the log. Its result is seen when the log is
// read.
type AppendCommand struct {
	Record Record
}

// BuyCommand makes a purchase. The shell answers with Bought once.
type BuyCommand struct {
	Token    Token
	Purchase provider.Purchase
}

// ListCommand lists the instances of the cloud API. The shell answers with
// Listed, and with the same number.
type ListCommand struct {
	Number uint64
}

// DrainCommand stops new work on an instance. It is repeated until the instance
// is released, so it needs no answer.
type DrainCommand struct {
	Instance fleet.InstanceID
}

// ReleaseCommand gives an instance back. It is repeated until a listing lacks
// the instance, so it needs no answer.
type ReleaseCommand struct {
	Instance fleet.InstanceID
}

func (AppendCommand) command()  {}
func (BuyCommand) command()     {}
func (ListCommand) command()    {}
func (DrainCommand) command()   {}
func (ReleaseCommand) command() {}
