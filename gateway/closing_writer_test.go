package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

func TestStoppingInstanceClosesConnections(t *testing.T) {
	tests := []struct {
		desc string
		stop bool
		want bool
	}{
		{desc: "serving"},
		{desc: "stopping", stop: true, want: true},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			g := newGateway(t)
			server := httptest.NewServer(g.Handler())
			defer server.Close()

			if tt.stop {
				g.Stop()
			}

			response, err := http.Get(server.URL + PathModels)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()

			if got := response.Close; got != tt.want {
				t.Errorf("connection closes after the response: got %v, want %v", got, tt.want)
			}
		})
	}
}
