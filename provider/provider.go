// Package provider holds the ports to the platform's services: the append-only
// log, the cloud API, the instance list and the weight store.
//
// Consumers depend on the interfaces here; HTTPLog, HTTPCloud, HTTPList and
// HTTPWeights speak the wire format. Only those files know that format.
//
// # Usage
//
//	log := provider.NewHTTPLog("http://127.0.0.1:7001", client)
//	offset, err := log.Append(ctx, "control", payload)
package provider
