// Package backend holds the ports to backend servers: model engines and plain
// services.
//
// Consumers depend on Engine and PlainServer; HTTPEngine and HTTPPlainServer
// speak the wire format. Only those files know that format.
//
// # Usage
//
//	engine := backend.NewHTTPEngine("127.0.0.1:8001", client)
//	stream, err := engine.Generate(ctx, request)
//	for {
//		event, err := stream.Next()
//	}
package backend
