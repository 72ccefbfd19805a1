package load

import (
	"cmp"
	"context"
	"net/http"
	"slices"

	"github.com/ansel1/merry/v2"

	"monsoonlever/httpclient"
)

// postFaults posts each fault at its time.
func (r *runner) postFaults(ctx context.Context) {
	faults := slices.Concat(r.options.Mix.Faults, r.options.Faults)
	slices.SortStableFunc(faults, func(a, b FaultMix) int { return cmp.Compare(a.At, b.At) })

	for _, f := range faults {
		if !r.waitUntil(ctx, f.At) {
			return
		}

		result := FaultResult{At: r.elapsed(), Server: f.Server, Path: f.Path, Body: f.Body}

		if err := r.postFault(ctx, f); err != nil {
			result.Error = err.Error()
		}

		r.mu.Lock()
		r.faults = append(r.faults, result)
		r.mu.Unlock()
	}
}

func (r *runner) postFault(ctx context.Context, f FaultMix) error {
	i := slices.IndexFunc(r.options.Servers, func(s Server) bool { return s.Name == f.Server })
	if i < 0 {
		return merry.Errorf("no server is named %q", f.Server)
	}

	ctx, cancel := context.WithTimeout(ctx, r.options.Grace)
	defer cancel()

	header := http.Header{"Content-Type": {"application/json"}}

	response, err := httpclient.New(r.options.Servers[i].URL, r.options.Client).
		Send(ctx, http.MethodPost, f.Path, header, []byte(f.Body))
	if err != nil {
		return err
	}

	defer func() { _ = response.Body.Close() }()

	if response.StatusCode >= http.StatusBadRequest {
		return merry.Errorf("status %s", response.Status)
	}

	return nil
}
