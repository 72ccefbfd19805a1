// Package upstream sends requests to backend servers over connections that it
// keeps, each request at most once.
//
// net/http's transport sends some requests again on its own and hands out
// whatever answer comes next on a kept connection. Here one call is one attempt,
// an answer is matched with its request by its id, and a connection with any
// doubt is closed. Messages are parsed by net/http.
//
// The error of a call tells what became of it: backend.ErrNotSent means that no
// byte left the process. Any other error leaves open whether the request ran.
//
// # Usage
//
//	pool := &upstream.Pool{Clock: clk, Counters: upstream.NewCounters(set)}
//	answer, err := pool.Send(ctx, server, request)
//	if err != nil {
//		return err
//	}
//	defer answer.Close()
//	body, err := answer.ReadAll(limit)
package upstream
