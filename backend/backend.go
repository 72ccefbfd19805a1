// Package backend defines the interfaces to backend servers, which are model engines and plain
// services, and implements them over HTTP.
//
// Consumers depend on Engine and PlainServer. HTTPEngine and HTTPPlainServer implement the wire
// format, and only their files contain it.
//
// # Usage
//
//	engine := backend.NewHTTPEngine("127.0.0.1:8001", client)
//	stream, err := engine.Generate(ctx, request)
//	for {
//		event, err := stream.Next()
//	}
package backend
