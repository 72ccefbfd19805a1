// Monsoonlever-standins runs small fakes of the platform, of model engines and
// of plain services, for tests and trials on one machine.
//
// # Usage
//
//	monsoonlever-standins platform --listen 127.0.0.1:7000
//	monsoonlever-standins engine --service ledger-llm --model m1 \
//		--domain ballerup-a --platform http://127.0.0.1:7000
//	monsoonlever-standins plain --service payrun-api \
//		--domain ballerup-b --platform http://127.0.0.1:7000
//
// Each prints one line of JSON with its address once it listens, and ends on
// SIGTERM.
package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// commands is the command line.
type commands struct {
	Platform platformCommand `cmd:"" help:"Run the log, the cloud API, the instance list and the weight store."`
	Engine   engineCommand   `cmd:"" help:"Run a model engine."`
	Plain    plainCommand    `cmd:"" help:"Run a plain service."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	var line commands

	command := kong.Parse(&line, kong.Description("Small fakes of the platform and of backend servers."))
	command.BindTo(ctx, (*context.Context)(nil))
	command.FatalIfErrorf(command.Run())
}
