// Package membership keeps a list of the entry instances that every one of
// them holds alike within seconds, without a coordination service.
//
// Core is the decision: a deterministic step machine that takes the time and
// what arrived, and returns messages and changes. It has no socket, clock,
// goroutine or global random source. Group is the shell that drives a Core
// over a peer.Node.
//
// A member says of itself its place, its phase (active, leaving, left) and a
// small payload. Others only add a status: alive, suspect or dead. Everything
// about one member is ordered by incarnation, then by revision, then by status,
// so that copies merge the same way in any order, and only the member itself
// can raise its revision to refute a suspicion.
//
// Members are probed inside their region only. A region whose round trips all
// fail is unreachable as a whole; none of its members is declared dead from
// outside. docs/membership.md gives the design and what was measured.
//
// # Usage
//
//	group := &membership.Group{
//		Node: node, Clock: clock.System{},
//		Region: "dk-east", Seeds: []string{"127.0.0.1:7401"},
//	}
//	if err := group.Register(); err != nil {
//		return err
//	}
//	go node.Run(ctx)
//	go group.Run(ctx)
//
//	for _, m := range group.View().Live() {
//		fmt.Println(m.ID(), m.Phase(), m.Payload())
//	}
//	group.SetPayload([]byte("v17"), membership.Urgent)
//	group.Leave()
package membership
