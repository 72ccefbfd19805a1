// Package membership maintains a replicated list of the entry instances that
// converges on every instance within seconds, without a coordination service.
//
// Core makes the decisions: it is a deterministic state machine that takes the
// current time and a received message, and returns messages to send and changes
// of the list. It has no socket, clock, goroutine or global random source.
// Group drives a Core over a peer.Node.
//
// A member publishes its own place, phase (active, leaving, left) and a small
// payload. Other members only set its status: alive, suspect or dead. The state
// of a member is ordered by incarnation, then by revision, then by status, so
// that updates merge to the same result in any order. Only the member itself
// raises its revision, which refutes a suspicion.
//
// Members are probed only by members of their own region. A region to which all
// round trips fail is marked unreachable as a whole; none of its members is
// declared dead by members of other regions. docs/membership.md describes the
// design and the measurements.
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
