package costing

import "monsoonlever/platform"

// offerFilter picks offers.
type offerFilter func(platform.Offer) bool

func anyOffer(platform.Offer) bool { return true }

func onDemandOffer(o platform.Offer) bool { return o.Market == platform.OnDemand }

func reclaimableOffer(o platform.Offer) bool { return o.Market == platform.Reclaimable }

func (f offerFilter) apply(offers []platform.Offer) []platform.Offer {
	var result []platform.Offer

	for _, o := range offers {
		if f(o) {
			result = append(result, o)
		}
	}

	return result
}
