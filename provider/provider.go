// Package provider defines the interfaces to the platform's services, which are the append-only
// log, the cloud API, the instance list and the weight store, and implements them over HTTP.
//
// Consumers depend on the interfaces here; HTTPLog, HTTPCloud, HTTPList and
// HTTPWeights speak the wire format. Only those files know that format.
//
// # Usage
//
//	log := provider.NewHTTPLog("http://127.0.0.1:7001", client)
//	offset, err := log.Append(ctx, "control", payload)
package provider
