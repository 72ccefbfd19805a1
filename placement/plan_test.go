package placement_test

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/fleet"
	"monsoonlever/placement"
	"monsoonlever/provider"
)

// tokensWithout returns the tokens per second that a decision provides after the
// loss of a failure domain.
func tokensWithout(d placement.Decision, lost fleet.FailureDomain) float64 {
	sum := 0.0

	for _, t := range d.Targets {
		if t.Cell.Domain != lost {
			sum += 1000 * float64(t.Count)
		}
	}

	return sum
}

func drawState(t *rapid.T, need float64) placement.State {
	load := placement.Load{TokensPerSecond: need}

	return placement.State{
		Config: placement.DefaultConfig(),
		Offers: drawOffers(t),
		Services: []placement.ServiceState{{
			Service: steadyService(), Forecast: placement.Forecast{Now: load, Need: load, Peak: load},
		}},
	}
}

func TestHoldsPlanCoversLossOfAnyDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		need := float64(rapid.IntRange(100, 9000).Draw(t, "need"))
		s := drawState(t, need)
		have := make(map[placement.Cell]int)

		for _, domain := range domains {
			place := placement.Cell{Domain: domain, Class: "gpu", Market: provider.Reclaimable}
			have[place] = rapid.IntRange(0, 3).Draw(t, "have")
		}

		s.Services[0].InstanceCounts = have
		d := placement.Plan(start, s)

		if got := tokensWithout(d, ""); got < need {
			t.Errorf("carried: got %.0f, want at least %.0f", got, need)
		}

		for _, domain := range domains {
			if got, want := tokensWithout(d, domain), 0.8*need; got < want-1e-6 {
				t.Errorf("carried without %s: got %.0f, want at least %.0f", domain, got, want)
			}
		}
	})
}

func TestPlanBuysElsewhereAfterRefusal(t *testing.T) {
	cheap := placement.Cell{Domain: "ballerup-a", Class: "gpu", Market: provider.Reclaimable}
	s := placement.State{Config: placement.DefaultConfig()}
	s.Services = []placement.ServiceState{{
		Service:  steadyService(),
		Forecast: placement.Forecast{Need: placement.Load{TokensPerSecond: 3000}},
	}}

	for i, domain := range domains {
		s.Offers = append(s.Offers, provider.Offer{
			Class: "gpu", Domain: domain, Market: provider.Reclaimable, PricePerHour: 1 + float64(i)/10,
		})
	}

	s.Refusals = s.Config.NewCellPenalties()
	s.Refusals.Add(start, cheap)

	for _, tt := range []struct {
		desc  string
		after time.Duration
		want  bool
	}{
		{"right after the refusal", time.Second, false},
		{"as the refusal is forgotten", 21 * time.Minute, true},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			got := false

			d := placement.Plan(start.Add(tt.after), s)
			for _, target := range d.Targets {
				got = got || target.Cell == cheap && target.Count > 0
			}

			if got != tt.want {
				t.Errorf("bought in the refused cell: got %v, want %v: %s", got, tt.want, d.Explanations[0])
			}

			if got := strings.Contains(d.Explanations[0].Text, "avoids"); got == tt.want {
				t.Errorf("line names the refusal: got %v, want %v: %s", got, !tt.want, d.Explanations[0])
			}
		})
	}
}

func TestForecastFollowsTriplingDemand(t *testing.T) {
	f := placement.NewForecaster(4 * time.Minute)
	at := func(minute int) float64 {
		return 1000 * (1 + 2*min(1, max(0, float64(minute-30)/15)))
	}

	for minute := range 60 {
		f.Observe(start.Add(time.Duration(minute)*time.Minute), placement.Load{TokensPerSecond: at(minute)})

		// The slope is measurable four minutes after it starts.
		if minute < 34 {
			continue
		}

		if got, want := f.Forecast().Need.TokensPerSecond, min(at(minute+4), 3000); got < want*0.9 {
			t.Errorf("need at minute %d: got %.0f, want at least %.0f", minute, got, want*0.9)
		}
	}
}
