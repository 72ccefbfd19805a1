package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"monsoonlever/backend"
	"monsoonlever/fleet"
	"monsoonlever/provider"
)

var (
	testStart   = time.Unix(1_800_000_000, 0)
	testKey     = NewKey("payrun-api", "", "", "")
	testDomains = []fleet.FailureDomain{"ballerup-a", "ballerup-b", "taastrup-1", "taastrup-2"}
)

func testID(i int) fleet.InstanceID {
	return fleet.InstanceID(fmt.Sprintf("server-%04d", i))
}

func testListing(i int) provider.Listing {
	return provider.Listing{
		ID:      testID(i),
		Service: testKey.Service(),
		Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
		Domain:  testDomains[i%len(testDomains)],
		Class:   "small",
		State:   provider.Live,
	}
}

func testListings(n int) []provider.Listing {
	listings := make([]provider.Listing, 0, n)
	for i := range n {
		listings = append(listings, testListing(i))
	}

	return listings
}

// newTestTable returns a table of n idle servers.
func newTestTable(n, capacity int) *Table {
	t := &Table{Domain: testDomains[0]}
	t.UpdateList(testStart, testListings(n))

	for i := range n {
		t.Report(testStart, testID(i), backend.LoadReport{At: testStart, Capacity: capacity})
	}

	t.Tick(testStart, newTestRandom())

	return t
}

func newTestRandom() *rand.PCG {
	return rand.NewPCG(1, 2)
}
