package main

import (
	"context"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"monsoonlever/fleet"
	"monsoonlever/platform"
	"monsoonlever/standin"
)

const platformTimeout = 5 * time.Second

// membership holds the flags of a backend server on the platform stand-in.
type membership struct {
	ID       string        `help:"Id of the instance; service and address if empty."`
	Service  string        `help:"Service of the instance list." required:""`
	Domain   string        `help:"Failure domain." required:""`
	Class    string        `help:"Machine class." default:"standard"`
	Market   string        `help:"Market of the instance." enum:"reclaimable,onDemand" default:"reclaimable"`
	Platform string        `help:"Base URL of the platform stand-in; none registers nowhere."`
	LoadLag  time.Duration `help:"Age of load reports."`
	Slots    int           `help:"Calls that run at a time." default:"64"`
	Queue    int           `help:"Calls that wait." default:"256"`
}

func (m membership) registration(address string) standin.Registration {
	id := m.ID
	if id == "" {
		id = m.Service + "-" + address
	}

	return standin.Registration{
		Market: platform.Market(m.Market),
		Listing: platform.Listing{
			ID:      fleet.InstanceID(id),
			Service: fleet.Service(m.Service),
			Address: address,
			Domain:  fleet.FailureDomain(m.Domain),
			Class:   platform.Class(m.Class),
			State:   platform.Live,
		},
	}
}

// serve runs a backend server until ctx ends or it is killed.
func (m membership) serve(ctx context.Context, l listening, h http.Handler, f *standin.Faults) error {
	listener, err := l.open()
	if err != nil {
		return err
	}

	server := standin.NewServer(listener, h, f)
	registration := m.registration(server.Address())
	client := &http.Client{Timeout: platformTimeout}

	var wg conc.WaitGroup

	ctx, cancel := context.WithCancel(ctx)
	defer wg.Wait()
	defer cancel()

	ended := make(chan error, 1)

	wg.Go(func() { ended <- server.Run(ctx) })

	if m.Platform != "" {
		if err := standin.Join(ctx, client, m.Platform, registration); err != nil {
			return err
		}
	}

	if err := l.ready(server.Address()); err != nil {
		return err
	}

	if err := <-ended; err != nil {
		return err
	}

	if m.Platform == "" || f.IsKilled() {
		return nil
	}

	// The platform may have been stopped at the same time.
	err = standin.Depart(context.WithoutCancel(ctx), client, m.Platform, registration.Listing.ID)
	if err != nil {
		klog.InfoS("platform was not told of the stop", "err", err)
	}

	return nil
}
