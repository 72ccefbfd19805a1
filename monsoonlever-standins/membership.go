package main

import (
	"context"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"k8s.io/klog/v2"

	"monsoonlever/fleet"
	"monsoonlever/provider"
	"monsoonlever/standin"
)

const (
	platformTimeout = 5 * time.Second
	// anyPort is taken where several servers can't share one address.
	anyPort = "127.0.0.1:0"
)

// membership holds the flags of a backend server on the platform stand-in.
type membership struct {
	ID       string        `help:"Id of the instance; service and address if empty."`
	Service  string        `help:"Service of the instance list." required:""`
	Domain   []string      `help:"Failure domain; one server is started for each." required:"" sep:"none"`
	Class    string        `help:"Machine class." default:"standard"`
	Market   string        `help:"Market of the instance." enum:"reclaimable,onDemand" default:"reclaimable"`
	Platform string        `help:"Base URL of the platform stand-in; none registers nowhere."`
	LoadLag  time.Duration `help:"Age of load reports."`
	Slots    int           `help:"Calls that run at a time." default:"64"`
	Queue    int           `help:"Calls that wait." default:"256"`
}

func (m membership) registration(address, domain string) standin.Registration {
	id := m.ID
	if id == "" || len(m.Domain) > 1 {
		id = m.Service + "-" + address
	}

	return standin.Registration{
		Market: provider.Market(m.Market),
		Listing: provider.Listing{
			ID:      fleet.InstanceID(id),
			Service: fleet.Service(m.Service),
			Address: address,
			Domain:  fleet.FailureDomain(domain),
			Class:   provider.Class(m.Class),
			State:   provider.Live,
		},
	}
}

// serve runs a backend server until ctx ends or it is killed.
// backendServer is one server of the process and its faults.
type backendServer struct {
	handler http.Handler
	faults  *standin.Faults
}

// serveAll runs a server in each failure domain until ctx ends.
func (m membership) serveAll(ctx context.Context, l listening, newServer func() backendServer) error {
	if len(m.Domain) > 1 {
		l.Listen = anyPort
	}

	group := pool.New().WithContext(ctx).WithCancelOnError()

	for _, domain := range m.Domain {
		s := newServer()

		group.Go(func(ctx context.Context) error { return m.serve(ctx, l, domain, s) })
	}

	return group.Wait()
}

func (m membership) serve(ctx context.Context, l listening, domain string, s backendServer) error {
	listener, err := l.open()
	if err != nil {
		return err
	}

	server := standin.NewServer(listener, s.handler, s.faults)
	registration := m.registration(server.Address(), domain)
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

	if err := l.ready(server.Address(), domain); err != nil {
		return err
	}

	if err := <-ended; err != nil {
		return err
	}

	if m.Platform == "" || s.faults.IsKilled() {
		return nil
	}

	// The platform may have been stopped at the same time.
	err = standin.Depart(context.WithoutCancel(ctx), client, m.Platform, registration.Listing.ID)
	if err != nil {
		klog.InfoS("platform was not told of the stop", "err", err)
	}

	return nil
}
