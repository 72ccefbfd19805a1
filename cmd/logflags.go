package cmd

import (
	"math/rand/v2"
	"net/http"

	"monsoonlever/clock"
	"monsoonlever/provider"
	"monsoonlever/publication"
)

// logFlags name the log that a deployment's manifests are on.
type logFlags struct {
	Log        string `required:"" placeholder:"URL" env:"MONSOONLEVER_LOG" help:"Base URL of the platform's log."`
	Deployment string `required:"" placeholder:"NAME" env:"MONSOONLEVER_DEPLOYMENT" help:"Name of the deployment, as in the settings of its instances."`
}

func (f logFlags) port() provider.Log {
	return provider.NewHTTPLog(f.Log, &http.Client{})
}

func (f logFlags) stream() provider.Stream {
	return publication.StreamOf(f.Deployment)
}

func (f logFlags) publisher() *publication.Publisher {
	return &publication.Publisher{Log: f.port(), Stream: f.stream(), Clock: clock.System{}, Random: newRandom()}
}

func (f logFlags) follower() *publication.Follower {
	return &publication.Follower{Log: f.port(), Stream: f.stream(), Clock: clock.System{}, Random: newRandom()}
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
