package daemon

import (
	"math/rand/v2"
	"time"

	"monsoonlever/admission"
	"monsoonlever/burn"
	"monsoonlever/claim"
	"monsoonlever/dispatch"
	"monsoonlever/logstream"
	"monsoonlever/provider"
	"monsoonlever/publication"
)

const (
	// demandSpread is the longest time in which the demand of one instance
	// normally reaches the others; a silent one is counted for demandLapse.
	demandSpread = 1500 * time.Millisecond
	demandLapse  = 10 * time.Second
	// demandFloor is the part of each limit that is shared evenly.
	demandFloor = 0.1
)

// buildControl makes what follows the platform's log.
func (p *parts) buildControl() {
	log := provider.NewHTTPLog(p.settings.Platform.Log, newClient())

	p.follower = &publication.Follower{
		Log: log, Stream: publication.StreamOf(p.settings.Deployment), Clock: p.clock,
		Random: newRandom(), OnChange: p.configure,
	}

	client := &logstream.Client{
		Log: log, Clock: p.clock, Stream: stream(p.settings.Deployment, "claims"),
		Writer: p.settings.Instance, Incarnation: p.incarnation,
		AppendsPerSecond: p.settings.AppendsPerSecond - p.controlShare(), Rand: newRandom(),
	}
	p.claims = newClaims(&claim.Executor{
		Log: client, Clock: p.clock, StoredHeaders: dispatch.StoredHeaders,
		Config: claim.Config{Self: p.settings.Instance, Incarnation: p.incarnation},
	}, client)

	p.recorder = &burn.Recorder{Instance: p.settings.Instance}
	p.admission = &admission.Controller{Instance: p.settings.Instance, Clock: p.clock, Metrics: p.metrics}

	if p.settings.TLS != nil {
		p.admission.Sharing = admission.Sharing{PropagationDelay: demandSpread, MemberTimeout: demandLapse, EvenFraction: demandFloor}
	}
}

// stream names a stream of a deployment.
func stream(deployment, name string) provider.Stream {
	return provider.Stream(deployment + "." + name)
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
