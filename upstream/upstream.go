// Package upstream sends requests to backend servers over pooled connections, each
// request at most once.
//
// The transport of net/http resends some requests by itself and accepts any response
// that arrives next on a reused connection. In this package one call of Pool.Send is one
// attempt, a response is matched with its request by the request's id, and a connection
// in an uncertain state is closed. net/http parses the messages.
//
// An error that wraps backend.ErrNotSent means that no byte of the request left this
// process. After any other error the request may have run.
//
// # Usage
//
//	pool := &upstream.Pool{Clock: clk, Counters: upstream.NewCounters(set)}
//	response, err := pool.Send(ctx, server, request)
//	if err != nil {
//		return err
//	}
//	defer response.Close()
//	body, err := response.ReadAll(budget.Reserve(), limit)
package upstream
