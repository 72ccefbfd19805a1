// Package standin holds small fakes of everything outside the system: the log
// service, the cloud API, the instance list, the weight store, model engines
// and plain services.
//
// Log, Cloud, List and Weights implement the ports of package provider, so a
// test can use them directly; each also has a Handler that speaks the wire
// format. Engine and PlainService are used through their Handler. All take
// their faults from a Faults, by Apply or by POST to their fault path.
//
// # Usage
//
//	engine := standin.NewEngine(clock.System{})
//	engine.Model = "m1"
//	server := httptest.NewServer(engine.Handler())
//	client := backend.NewHTTPEngine(server.Listener.Addr().String(), server.Client())
//	err := engine.Faults.Apply(standin.FaultOrder{Kind: standin.KillStream, AfterTokens: 3})
package standin
