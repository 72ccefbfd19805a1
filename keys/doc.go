// Package keys makes and loads the keys with which entry instances prove to
// each other who they are.
//
// Each instance has a certificate, signed by the deployment's own CA, whose
// DNS name is the instance ID. The ID and not the IP address is bound: it is
// what every decision uses, and an address may be taken over by a replacement.
//
// # Usage
//
//	err := keys.WriteDeployment("keys", []string{"entry-1", "entry-2"}, time.Now())
//
//	files := keys.Files{CA: "keys/ca.pem", Certificate: "keys/entry-1.pem", Key: "keys/entry-1.key"}
//	config, err := files.TLS(clock.System{})
package keys
