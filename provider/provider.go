// Package provider defines the interfaces to the platform's services, which are the append-only
// log, the cloud API, the instance list and the weight store, and implements them over HTTP.
//
// Consumers depend on the interfaces. HTTPLog, HTTPCloud, HTTPInstanceList and HTTPWeightStore
// implement the wire format, and only their files contain it.
//
// # Usage
//
//	log := provider.NewHTTPLog("http://127.0.0.1:7001", client)
//	offset, err := log.Append(ctx, "control", payload)
package provider
