package standin

import (
	"context"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// WeightsFaultsPath is where the weight store takes a FaultOrder.
const WeightsFaultsPath = "/weights/faults"

// Weights is a fake of the weight store. Set the exported fields before its use.
type Weights struct {
	Clock  clock.Clock
	Faults *Faults
	// ModelTime is how long one model takes at the rate of the store, which all
	// its readers share.
	ModelTime time.Duration

	pipe pipe
}

var _ provider.WeightStore = (*Weights)(nil)

// NewWeights returns a weight store that answers at once.
func NewWeights(c clock.Clock) *Weights {
	return &Weights{Clock: c, Faults: NewFaults(c)}
}

// Fetch waits for one transfer and returns the time it took.
func (s *Weights) Fetch(
	ctx context.Context, _ fleet.Model, _ fleet.ModelVersion,
) (time.Duration, error) {
	if err := s.Faults.Enter(ctx); err != nil {
		return 0, err
	}

	return s.pipe.carry(ctx, s.Clock, s.ModelTime)
}

// Handler speaks the wire format of the weight store.
func (s *Weights) Handler() http.Handler {
	router := httprouter.New()
	s.routes(router)

	return router
}

func (s *Weights) routes(router *httprouter.Router) {
	handle(router, http.MethodPost, provider.WeightsFetchesPath, s.serveFetch)
	handleFaults(router, WeightsFaultsPath, s.Faults)
}

func (s *Weights) serveFetch(w http.ResponseWriter, r *http.Request) error {
	request, err := readMessage[provider.FetchRequest](r)
	if err != nil {
		return err
	}

	took, err := s.Fetch(r.Context(), request.Model, request.Version)
	if err != nil {
		return err
	}

	return writeMessage(w, provider.FetchResponse{Took: took.String()})
}
