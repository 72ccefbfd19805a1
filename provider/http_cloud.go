package provider

import (
	"context"
	"net/http"
	"strconv"

	"github.com/ansel1/merry/v2"

	"monsoonlever/fleet"
	"monsoonlever/httpclient"
)

// The wire format of the cloud API: JSON messages at these paths. The cloud API refuses a
// purchase with status 409 and EffectHeader set to EffectNone.
const (
	CloudOffersPath    = "/cloud/offers"
	CloudPurchasesPath = "/cloud/purchases"
	CloudReleasesPath  = "/cloud/releases"
	CloudInstancesPath = "/cloud/instances"
	CloudNoticesPath   = "/cloud/notices"
	CloudAfterParam    = "after"
)

// ReleaseRequest asks the cloud API to release one instance.
type ReleaseRequest struct {
	ID fleet.InstanceID `json:"id"`
}

// HTTPCloud is a client of the cloud API.
type HTTPCloud struct {
	client *httpclient.Client
}

var _ Cloud = (*HTTPCloud)(nil)

// NewHTTPCloud returns a client of the cloud API at a base URL.
func NewHTTPCloud(baseURL string, c *http.Client) *HTTPCloud {
	return &HTTPCloud{client: httpclient.New(baseURL, c)}
}

// Offers returns the current prices.
func (c *HTTPCloud) Offers(ctx context.Context) ([]Offer, error) {
	var offers []Offer
	if err := c.client.Get(ctx, CloudOffersPath, &offers); err != nil {
		return nil, merry.Prepend(err, "list offers")
	}

	return offers, nil
}

// Buy buys one instance. Cloud documents its errors.
func (c *HTTPCloud) Buy(ctx context.Context, p Purchase) (Instance, error) {
	var instance Instance

	err := c.client.Post(ctx, CloudPurchasesPath, p, &instance)
	if err == nil {
		return instance, nil
	}

	if hadNoEffect(err, http.StatusConflict) {
		return Instance{}, merry.Prepend(ErrNoCapacity, "buy instance", merry.WithCause(err))
	}

	return Instance{}, merry.Prepend(err, "buy instance")
}

// Release releases an instance. It has no effect on an instance that was released before.
func (c *HTTPCloud) Release(ctx context.Context, id fleet.InstanceID) error {
	if err := c.client.Post(ctx, CloudReleasesPath, ReleaseRequest{ID: id}, nil); err != nil {
		return merry.Prepend(err, "release instance "+string(id))
	}

	return nil
}

// Instances returns the instances that are charged.
func (c *HTTPCloud) Instances(ctx context.Context) ([]Instance, error) {
	var instances []Instance
	if err := c.client.Get(ctx, CloudInstancesPath, &instances); err != nil {
		return nil, merry.Prepend(err, "list instances")
	}

	return instances, nil
}

// Notices returns the reclaim notices with a sequence number above after.
func (c *HTTPCloud) Notices(ctx context.Context, after uint64) ([]ReclaimNotice, error) {
	path := CloudNoticesPath + "?" + CloudAfterParam + "=" + strconv.FormatUint(after, 10)

	var notices []ReclaimNotice
	if err := c.client.Get(ctx, path, &notices); err != nil {
		return nil, merry.Prepend(err, "list reclaim notices")
	}

	return notices, nil
}
