package gateway

import (
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"monsoonlever/fleet"
)

// modelList is the response of PathModels.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      fleet.Model   `json:"id"`
	Object  string        `json:"object"`
	OwnedBy fleet.Service `json:"owned_by"`
}

// models responds with the list of the models that the caller may use.
func (g *Gateway) models(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	c, refused := g.authenticate(r)
	if refused != nil {
		g.refuseUnclassified(w, refused)

		return
	}

	list := modelList{Object: "list", Data: []modelItem{}}

	for _, service := range c.manifest.Services() {
		if !c.account.Allows(service.Name()) {
			continue
		}

		for _, model := range service.Models() {
			list.Data = append(list.Data, modelItem{ID: model, Object: "model", OwnedBy: service.Name()})
		}
	}

	g.setWriteDeadline(w)
	w.Header().Set("Content-Type", "application/json")
	// Ignores write errors: the caller has disconnected.
	_ = json.NewEncoder(w).Encode(list)
}
