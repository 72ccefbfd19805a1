package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"monsoonlever/backend"
	"monsoonlever/fleet"
	"monsoonlever/platform"
)

var (
	testStart   = time.Unix(1_800_000_000, 0)
	testKey     = NewKey("payrun-api", "", "", "")
	testDomains = []fleet.FailureDomain{"ballerup-a", "ballerup-b", "taastrup-1", "taastrup-2"}
)

func testID(i int) fleet.InstanceID {
	return fleet.InstanceID(fmt.Sprintf("server-%04d", i))
}

func testListing(i int) platform.Listing {
	return platform.Listing{
		ID:      testID(i),
		Service: testKey.Service(),
		Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
		Domain:  testDomains[i%len(testDomains)],
		Class:   "small",
		State:   platform.Live,
	}
}

func testListings(n int) []platform.Listing {
	listings := make([]platform.Listing, 0, n)
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

	return t
}

func newTestRandom() *rand.PCG {
	return rand.NewPCG(1, 2)
}
