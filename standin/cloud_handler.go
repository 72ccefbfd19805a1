package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/julienschmidt/httprouter"

	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// The paths by which tests steer the cloud stand-in.
const (
	CloudFaultsPath   = "/cloud/faults"
	CloudStockPath    = "/cloud/stock"
	CloudReclaimsPath = "/cloud/reclaims"
)

// StockOrder sets a price and how many instances are left at it.
type StockOrder struct {
	Offer provider.Offer `json:"offer"`
	Left  int            `json:"left"`
}

// ReclaimOrder reclaims the instances of a failure domain.
type ReclaimOrder struct {
	Domain fleet.FailureDomain `json:"domain"`
	Notice Duration            `json:"notice"`
}

// Handler speaks the wire format of the cloud API.
func (c *Cloud) Handler() http.Handler {
	router := httprouter.New()
	c.routes(router)

	return router
}

func (c *Cloud) routes(router *httprouter.Router) {
	handle(router, http.MethodGet, provider.CloudOffersPath, c.serveOffers)
	handle(router, http.MethodPost, provider.CloudPurchasesPath, c.serveBuy)
	handle(router, http.MethodPost, provider.CloudReleasesPath, c.serveRelease)
	handle(router, http.MethodGet, provider.CloudInstancesPath, c.serveInstances)
	handle(router, http.MethodGet, provider.CloudNoticesPath, c.serveNotices)
	handle(router, http.MethodPost, CloudStockPath, c.serveStock)
	handle(router, http.MethodPost, CloudReclaimsPath, c.serveReclaim)
	handleFaults(router, CloudFaultsPath, c.Faults)
}

func (c *Cloud) serveOffers(w http.ResponseWriter, r *http.Request) error {
	offers, err := c.Offers(r.Context())
	if err != nil {
		return err
	}

	return writeMessage(w, offers)
}

func (c *Cloud) serveBuy(w http.ResponseWriter, r *http.Request) error {
	purchase, err := readMessage[provider.Purchase](r)
	if err != nil {
		return err
	}

	instance, err := c.Buy(r.Context(), purchase)
	if err != nil {
		return err
	}

	return writeMessage(w, instance)
}

func (c *Cloud) serveRelease(w http.ResponseWriter, r *http.Request) error {
	request, err := readMessage[provider.ReleaseRequest](r)
	if err != nil {
		return err
	}

	if err := c.Release(r.Context(), request.ID); err != nil {
		return err
	}

	w.WriteHeader(http.StatusNoContent)

	return nil
}

func (c *Cloud) serveInstances(w http.ResponseWriter, r *http.Request) error {
	instances, err := c.Instances(r.Context())
	if err != nil {
		return err
	}

	return writeMessage(w, instances)
}

func (c *Cloud) serveNotices(w http.ResponseWriter, r *http.Request) error {
	after, err := strconv.ParseUint(r.URL.Query().Get(provider.CloudAfterParam), 10, 64)
	if err != nil {
		return merry.Wrap(errBadRequest, merry.WithCause(err))
	}

	notices, err := c.Notices(r.Context(), after)
	if err != nil {
		return err
	}

	return writeMessage(w, notices)
}

func (c *Cloud) serveStock(w http.ResponseWriter, r *http.Request) error {
	order, err := readMessage[StockOrder](r)
	if err != nil {
		return err
	}

	c.SetOffer(order.Offer, order.Left)
	w.WriteHeader(http.StatusNoContent)

	return nil
}

func (c *Cloud) serveReclaim(w http.ResponseWriter, r *http.Request) error {
	order, err := readMessage[ReclaimOrder](r)
	if err != nil {
		return err
	}

	c.Reclaim(order.Domain, time.Duration(order.Notice))
	w.WriteHeader(http.StatusNoContent)

	return nil
}
