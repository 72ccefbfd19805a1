package standin_test

import (
	"errors"
	"net/http"
	"testing"

	"monsoonlever/backend"
	"monsoonlever/clock"
	"monsoonlever/standin"
)

func TestPlainServiceCountsExecutions(t *testing.T) {
	tests := []struct {
		desc    string
		fault   standin.FaultOrder
		wantErr bool
		refused bool
		ran     int
	}{
		{desc: "no fault", fault: standin.FaultOrder{Kind: standin.Clear}, ran: 1},
		{desc: "answer lost", fault: standin.FaultOrder{Kind: standin.LoseAnswer}, wantErr: true, ran: 1},
		{desc: "drained", fault: standin.FaultOrder{Kind: standin.Drain}, wantErr: true, refused: true},
		{desc: "down", fault: standin.FaultOrder{Kind: standin.Down}, wantErr: true, refused: true},
		{desc: "down without an answer", fault: standin.FaultOrder{Kind: standin.Down, Silent: true}, wantErr: true},
		{desc: "leaving takes calls", fault: standin.FaultOrder{Kind: standin.Leaving}, ran: 1},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			fake := standin.NewPlainService(clock.System{})
			address := serve(t, fake.Handler())
			plain := backend.NewHTTPPlainServer(address, &http.Client{})

			if err := standin.OrderFault(t.Context(), &http.Client{}, address, tt.fault); err != nil {
				t.Fatal(err)
			}

			call := backend.Call{Method: "POST", Path: "/pay", Body: []byte("b"), IdempotencyKey: "k"}
			_, err := plain.Do(t.Context(), call)

			if got := err != nil; got != tt.wantErr {
				t.Errorf("error: got %v, want %v", err, tt.wantErr)
			}

			if got := errors.Is(err, backend.ErrRefused); got != tt.refused {
				t.Errorf("refused: got %v (%v), want %v", got, err, tt.refused)
			}

			got := fake.Executions()
			if got.Total != tt.ran || got.Of("k") != tt.ran || len(got.ByDigest) != tt.ran {
				t.Errorf("executions: got %+v, want %d", got, tt.ran)
			}
		})
	}
}

func TestPlainServiceRefusesOverItsQueue(t *testing.T) {
	fake := standin.NewPlainService(clock.System{})
	fake.Slots = 0
	fake.Queue = 0
	plain := backend.NewHTTPPlainServer(serve(t, fake.Handler()), &http.Client{})

	if _, err := plain.Do(t.Context(), backend.Call{Method: "POST", Path: "/"}); !errors.Is(err, backend.ErrRefused) {
		t.Errorf("call: got %v, want %v", err, backend.ErrRefused)
	}

	if got := fake.Executions().Total; got != 0 {
		t.Errorf("executions: got %d, want 0", got)
	}
}
