package costing

import "monsoonlever/provider"

// offerFilter picks offers.
type offerFilter func(provider.Offer) bool

func anyOffer(provider.Offer) bool { return true }

func onDemandOffer(o provider.Offer) bool { return o.Market == provider.OnDemand }

func reclaimableOffer(o provider.Offer) bool { return o.Market == provider.Reclaimable }

func (f offerFilter) apply(offers []provider.Offer) []provider.Offer {
	var result []provider.Offer

	for _, o := range offers {
		if f(o) {
			result = append(result, o)
		}
	}

	return result
}
