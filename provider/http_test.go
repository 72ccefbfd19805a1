package provider_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"monsoonlever/provider"
)

func TestRefusalRequiresEffectHeader(t *testing.T) {
	tests := []struct {
		desc       string
		status     int
		effect     string
		logRefused bool
		noCapacity bool
	}{
		{desc: "503 without effect", status: 503, effect: "none", logRefused: true},
		{desc: "409 without effect", status: 409, effect: "none", noCapacity: true},
		{desc: "503 without the header", status: 503},
		{desc: "409 without the header", status: 409},
		{desc: "503 with another header value", status: 503, effect: "some"},
		{desc: "500 without effect", status: 500, effect: "none"},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Effect", tt.effect)
				w.WriteHeader(tt.status)
			}))
			defer server.Close()

			_, err := provider.NewHTTPLog(server.URL, server.Client()).Append(t.Context(), "s", nil)
			if got := errors.Is(err, provider.ErrRefused); err == nil || got != tt.logRefused {
				t.Errorf("append refused: got %v (%v), want %v", got, err, tt.logRefused)
			}

			_, err = provider.NewHTTPCloud(server.URL, server.Client()).Buy(t.Context(), provider.Purchase{})
			if got := errors.Is(err, provider.ErrNoCapacity); err == nil || got != tt.noCapacity {
				t.Errorf("no capacity: got %v (%v), want %v", got, err, tt.noCapacity)
			}
		})
	}
}
