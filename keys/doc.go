// Package keys creates and loads the TLS certificates and private keys with which
// entry instances authenticate each other.
//
// Each instance has a certificate, signed by the deployment's own CA, whose
// DNS name is the instance ID. The certificate names the ID, not the IP address,
// because every decision uses the ID, and a replacement instance may reuse an
// address.
//
// # Usage
//
//	err := keys.WriteDeployment("keys", []string{"entry-1", "entry-2"}, time.Now())
//
//	files := keys.Files{CA: "keys/ca.pem", Certificate: "keys/entry-1.pem", Key: "keys/entry-1.key"}
//	config, err := files.TLS(clock.System{})
package keys
