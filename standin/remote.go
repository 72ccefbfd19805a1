package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/ansel1/merry/v2"

	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// OrderFault gives a fault order to the backend server stand-in at host:port.
func OrderFault(ctx context.Context, c *http.Client, address string, o FaultOrder) error {
	return postOrder(ctx, c, "http://"+address+FaultsPath, o)
}

// OrderPlatformFault gives a fault order to a part of the platform stand-in,
// by the part's path, such as LogFaultsPath.
func OrderPlatformFault(ctx context.Context, c *http.Client, baseURL, path string, o FaultOrder) error {
	return postOrder(ctx, c, baseURL+path, o)
}

// OrderReclaim reclaims a failure domain of the platform stand-in.
func OrderReclaim(ctx context.Context, c *http.Client, baseURL string, o ReclaimOrder) error {
	return postOrder(ctx, c, baseURL+CloudReclaimsPath, o)
}

// SetStock sets a price and a stock of the platform stand-in.
func SetStock(ctx context.Context, c *http.Client, baseURL string, o StockOrder) error {
	return postOrder(ctx, c, baseURL+CloudStockPath, o)
}

// Join registers a backend server with the platform stand-in.
func Join(ctx context.Context, c *http.Client, baseURL string, r Registration) error {
	return postOrder(ctx, c, baseURL+RegistrationsPath, r)
}

// Depart takes a backend server out of the platform stand-in.
func Depart(ctx context.Context, c *http.Client, baseURL string, id fleet.InstanceID) error {
	return postOrder(ctx, c, baseURL+DeparturesPath, provider.ReleaseRequest{ID: id})
}

func postOrder(ctx context.Context, c *http.Client, url string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return merry.Prepend(err, "encode order")
	}

	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return merry.Prepend(err, "make request")
	}

	resp, err := c.Do(req)
	if err != nil {
		return merry.Prepend(err, "give order")
	}
	defer resp.Body.Close() //nolint:errcheck // nothing is left to be read

	if resp.StatusCode != http.StatusNoContent {
		return merry.Errorf("give order: status %d", resp.StatusCode)
	}

	return nil
}
