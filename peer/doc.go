// Package peer is the transport between entry instances: typed messages in
// length-prefixed msgpack frames over TCP with mutual TLS.
//
// A Node keeps at most one connection in use to each remote address and uses
// it in both directions. After the TLS handshake each side sends a hello with
// its deployment, instance ID, incarnation and failure domain. The instance ID
// must be a DNS name of the sender's certificate, and the deployment must be
// the receiver's own. Any other remote is refused and counted; repeated refusals
// of a remote for the same reason are logged once.
//
// Send never blocks. Each remote has two bounded queues: when the queue for the
// kinds listed in Droppable is full, its oldest message is dropped; for every
// other kind Send returns ErrQueueFull. Delivery is at most once: messages
// written to a connection that breaks are lost, and the sender detects the loss
// only by its own timeout.
//
// # Usage
//
//	node := &peer.Node{
//		ID: "entry-1", Incarnation: 1, Domain: "ballerup-a", Deployment: "kronvig",
//		Listen: "127.0.0.1:7400", Advertise: "127.0.0.1:7400",
//		TLS: tlsConfig, Clock: clock.System{},
//	}
//	peer.Handle(node, kindReport, func(from peer.Sender, msg Report) { … })
//	peer.HandleCall(node, kindFetch, func(ctx context.Context, from peer.Sender, req Fetch) (Copy, error) { … })
//	go node.Run(ctx)
//
//	err := node.Send(peer.Target{Address: "127.0.0.1:7401"}, kindReport, Report{})
//	copy, err := peer.Call[Fetch, Copy](ctx, node, target, kindFetch, Fetch{})
package peer
