// Package quarantine names requests by what they ask for, so that one that comes again
// under another id is known to be the same.
//
// # Usage
//
//	f := quarantine.FingerprintOf(account, method, host, target, body)
//	klog.InfoS("request", "content", f)
package quarantine
