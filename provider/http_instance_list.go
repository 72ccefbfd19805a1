package provider

import (
	"context"
	"net/http"

	"github.com/ansel1/merry/v2"

	"monsoonlever/httpclient"
)

// ListingsPath is the path at which the instance list returns a JSON array of Listing.
const ListingsPath = "/list/listings"

// HTTPInstanceList is a client of the instance list.
type HTTPInstanceList struct {
	client *httpclient.Client
}

var _ InstanceList = (*HTTPInstanceList)(nil)

// NewHTTPInstanceList returns a client of the instance list at a base URL.
func NewHTTPInstanceList(baseURL string, c *http.Client) *HTTPInstanceList {
	return &HTTPInstanceList{client: httpclient.New(baseURL, c)}
}

// Listings returns the current entries of the list.
func (l *HTTPInstanceList) Listings(ctx context.Context) ([]Listing, error) {
	var listings []Listing
	if err := l.client.Get(ctx, ListingsPath, &listings); err != nil {
		return nil, merry.Prepend(err, "read instance list")
	}

	return listings, nil
}
