package publication

import (
	"fmt"
	"strings"
)

const smallManifest = `{
  "name": "NAME",
  "currency": "DKK",
  "regions": [{ "name": "r", "failureDomains": [
    { "name": "a", "classes": [{ "name": "c", "accelerators": 0, "pricePerHour": { "reclaimable": 1, "onDemand": 3 } }] },
    { "name": "b", "classes": [{ "name": "c", "accelerators": 0, "pricePerHour": { "reclaimable": 1, "onDemand": 3 } }] },
  ] }],
  "services": [{ "name": "s", "kind": "plain", "classes": ["c"], "concurrency": 1, "calls": [
    { "name": "get", "method": "GET", "path": "/x", "idempotent": true, "latencyTarget": { "whole": "1s" }, "objective": 0.9, "deadline": "1s" },
  ] }],
  "accounts": [{ "name": "acc", "keyHashes": ["HASH"], "weight": 1, "limits": { "requestsPerSecond": 1, "concurrent": 1 }, "services": ["s"] }],
  "idempotency": { "keyWindow": "1h", "logRetention": "4h" },
  "capacity": { "services": [{ "service": "s", "min": 1, "max": 2 }] },
}`

// manifestNamed returns a small manifest without findings.
func manifestNamed(name string) []byte {
	hash := strings.Repeat("ab", 32)

	return []byte(strings.NewReplacer("NAME", name, "HASH", hash).Replace(smallManifest))
}

func manifestNumbered(n int) []byte {
	return manifestNamed(fmt.Sprintf("m%d", n))
}
