package standin_test

import (
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"monsoonlever/backend"
	"monsoonlever/clock"
	"monsoonlever/provider"
	"monsoonlever/standin"
)

func TestPurchaseIsIdempotentByToken(t *testing.T) {
	fake := standin.NewCloud(clock.NewManual(start))
	fake.SetOffer(provider.Offer{Class: "c", Domain: "a", Market: provider.Reclaimable, PricePerHour: 2}, 1)

	cloud := provider.NewHTTPCloud("http://"+serve(t, fake.Handler()), &http.Client{})
	purchase := provider.Purchase{Token: "t1", Class: "c", Domain: "a", Market: provider.Reclaimable}

	apply(t, fake.Faults, standin.FaultOrder{Kind: standin.EffectWithoutAnswer})

	if _, err := cloud.Buy(t.Context(), purchase); err == nil || errors.Is(err, provider.ErrNoCapacity) {
		t.Errorf("purchase with a lost answer: got %v, want an error that leaves it unknown", err)
	}

	bought, err := cloud.Buy(t.Context(), purchase)
	if err != nil {
		t.Fatalf("same token: got %v, want none", err)
	}

	purchase.Token = "t2"
	if _, err := cloud.Buy(t.Context(), purchase); !errors.Is(err, provider.ErrNoCapacity) {
		t.Errorf("sold out: got %v, want %v", err, provider.ErrNoCapacity)
	}

	instances, err := cloud.Instances(t.Context())
	if err != nil || len(instances) != 1 || instances[0] != bought {
		t.Errorf("instances: got %v, %v, want just %v", instances, err, bought)
	}

	if err := cloud.Release(t.Context(), bought.ID); err != nil {
		t.Errorf("release: got %v, want none", err)
	}

	if instances, err := cloud.Instances(t.Context()); err != nil || len(instances) != 0 {
		t.Errorf("instances after the release: got %v, %v, want none", instances, err)
	}
}

func TestReclaimEndsADomainAfterItsNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.NewPlatform(clock.System{})

		for _, r := range []standin.Registration{
			{Market: provider.Reclaimable, Listing: provider.Listing{ID: "a1", Domain: "a", State: provider.Live}},
			{Market: provider.OnDemand, Listing: provider.Listing{ID: "a2", Domain: "a", State: provider.Live}},
			{Market: provider.Reclaimable, Listing: provider.Listing{ID: "b1", Domain: "b", State: provider.Live}},
		} {
			p.Register(r)
		}

		p.Cloud.Reclaim("a", 5*time.Second)

		notices, err := p.Cloud.Notices(t.Context(), 0)
		if err != nil || len(notices) != 1 || notices[0].Instance != "a1" {
			t.Errorf("notices: got %v, %v, want one of a1", notices, err)
		}

		if got := states(p.List); got != "a2:live b1:live a1:leaving " && got != "a1:leaving a2:live b1:live " {
			t.Errorf("list in the notice: got %q, want a1 leaving", got)
		}

		time.Sleep(5 * time.Second)
		p.Cloud.Wait()

		if got := states(p.List); got != "a2:live b1:live " {
			t.Errorf("list after the notice: got %q, want a1 gone", got)
		}

		if notices, err := p.Cloud.Notices(t.Context(), 1); err != nil || len(notices) != 0 {
			t.Errorf("notices after the first: got %v, %v, want none", notices, err)
		}
	})
}

func states(l *standin.List) string {
	text := ""
	for _, listing := range l.Present() {
		text += string(listing.ID) + ":" + string(listing.State) + " "
	}

	return text
}

func TestListLags(t *testing.T) {
	c := clock.NewManual(start)
	fake := standin.NewList(c)
	fake.Lag = 3 * time.Second
	list := provider.NewHTTPInstanceList("http://"+serve(t, fake.Handler()), &http.Client{})

	fake.Set(provider.Listing{ID: "a1", State: provider.Live})

	for _, want := range []int{0, 0, 0, 1} {
		listings, err := list.Listings(t.Context())
		if err != nil || len(listings) != want {
			t.Errorf("listings: got %d, %v, want %d", len(listings), err, want)
		}

		c.Advance(time.Second)
	}
}

func TestWeightStoreSharesItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := standin.NewWeights(clock.System{})
		fake.ModelTime = time.Minute

		first := make(chan time.Duration, 1)

		go func() {
			took, _ := fake.Fetch(t.Context(), "m", "1")
			first <- took
		}()

		synctest.Wait()

		took, err := fake.Fetch(t.Context(), "m", "2")
		if err != nil || took != 2*time.Minute {
			t.Errorf("second transfer: got %v, %v, want 2m", took, err)
		}

		if got := <-first; got != time.Minute {
			t.Errorf("first transfer: got %v, want 1m", got)
		}
	})
}

func TestKilledServerIsGone(t *testing.T) {
	plain := standin.NewPlainService(clock.System{})

	server, err := standin.StartServer(plain.Handler(), plain.Faults)
	if err != nil {
		t.Fatal(err)
	}

	client := &http.Client{Transport: &http.Transport{}}
	calls := backend.NewHTTPPlainServer(server.Address(), client)

	if _, err := calls.Do(t.Context(), backend.Call{Method: "POST", Path: "/"}); err != nil {
		t.Fatalf("call: got %v, want none", err)
	}

	// The order's own answer may be lost with the server.
	_ = standin.OrderFault(t.Context(), client, server.Address(), standin.FaultOrder{Kind: standin.Kill})
	server.Wait()
	client.CloseIdleConnections()

	if _, err := calls.Do(t.Context(), backend.Call{Method: "POST", Path: "/"}); !errors.Is(err, backend.ErrNotSent) {
		t.Errorf("call after the kill: got %v, want %v", err, backend.ErrNotSent)
	}
}
