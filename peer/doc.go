// Package peer is the transport between entry instances: typed messages in
// length-prefixed msgpack frames over TCP with mutual TLS.
//
// A Node keeps at most one connection in use to each remote address and uses
// it in both directions. After the TLS handshake each side sends a hello with
// its deployment, instance ID, incarnation and failure domain. The instance ID
// must be a DNS name of the sender's certificate, and the deployment must be
// the receiver's own; anything else is refused, counted, and logged once per
// remote.
//
// Send never blocks. Each remote has two bounded queues: kinds listed in
// Droppable lose their oldest message when the queue is full, every other kind
// gets ErrQueueFull. Delivery is at most once: what was written to a
// connection that breaks is lost, and the caller learns it by its own timeout.
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
