package scheduling

import (
	"cmp"
	"math"
	"slices"
)

// matchVersions returns the servers of a pool whose version may take the request. If a version
// takes a fraction of the requests, the same fraction of its servers is returned: each of them
// then has the load that it would have if the version took all requests.
func (r *Request) matchVersions(pool []*server) []*server {
	if r.OnlyVersion == "" && len(r.AvoidVersions) == 0 {
		return pool
	}

	matching := make([]*server, 0, len(pool))

	for _, srv := range pool {
		version := srv.entry().Version
		if r.OnlyVersion != "" && version != r.OnlyVersion || slices.Contains(r.AvoidVersions, version) {
			continue
		}

		matching = append(matching, srv)
	}

	if r.OnlyVersion == "" || r.VersionFraction >= 1 || len(matching) == 0 {
		return matching
	}

	slices.SortFunc(matching, func(a, b *server) int { return cmp.Compare(a.hash, b.hash) })

	return matching[:min(max(int(math.Ceil(r.VersionFraction*float64(len(matching)))), 1), len(matching))]
}
