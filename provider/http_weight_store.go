package provider

import (
	"context"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/fleet"
	"monsoonlever/httpclient"
)

// WeightsFetchesPath is the path at which the weight store accepts a FetchRequest. It returns a
// FetchResponse at the end of the transfer.
const WeightsFetchesPath = "/weights/fetches"

// FetchRequest asks the weight store to transfer one model version.
type FetchRequest struct {
	Model   fleet.Model        `json:"model"`
	Version fleet.ModelVersion `json:"version"`
}

// FetchResponse holds the duration of the transfer in the format of time.Duration.
type FetchResponse struct {
	Took string `json:"took"`
}

// HTTPWeightStore is a client of the weight store.
type HTTPWeightStore struct {
	client *httpclient.Client
}

var _ WeightStore = (*HTTPWeightStore)(nil)

// NewHTTPWeightStore returns a client of the weight store at a base URL.
func NewHTTPWeightStore(baseURL string, c *http.Client) *HTTPWeightStore {
	return &HTTPWeightStore{client: httpclient.New(baseURL, c)}
}

// Fetch fetches one model version and returns the duration of the transfer.
func (w *HTTPWeightStore) Fetch(
	ctx context.Context, model fleet.Model, version fleet.ModelVersion,
) (time.Duration, error) {
	var response FetchResponse

	request := FetchRequest{Model: model, Version: version}
	if err := w.client.Post(ctx, WeightsFetchesPath, request, &response); err != nil {
		return 0, merry.Prepend(err, "fetch weights of "+string(model))
	}

	took, err := time.ParseDuration(response.Took)
	if err != nil {
		return 0, merry.Prepend(err, "read transfer time of "+string(model))
	}

	return took, nil
}
