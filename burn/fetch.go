package burn

import (
	"context"
	"errors"
	"net/http"

	"github.com/ansel1/merry/v2"
)

// Path is where a daemon serves its snapshot.
const Path = "/v1/burn"

// Fetch reads the snapshots at the given URLs. It returns those it got and
// what went wrong with the others.
func Fetch(ctx context.Context, client *http.Client, urls []string) ([]Snapshot, error) {
	var (
		out  []Snapshot
		errs []error
	)

	for _, url := range urls {
		s, err := fetch(ctx, client, url)
		if err != nil {
			errs = append(errs, merry.Prependf(err, "fetch %s", url))

			continue
		}

		out = append(out, s)
	}

	return out, errors.Join(errs...)
}

func fetch(ctx context.Context, client *http.Client, url string) (Snapshot, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return Snapshot{}, err
	}

	response, err := client.Do(request)
	if err != nil {
		return Snapshot{}, err
	}
	defer func() { _ = response.Body.Close() }()

	if response.StatusCode != http.StatusOK {
		return Snapshot{}, merry.Errorf("status %s", response.Status)
	}

	return Read(response.Body)
}
