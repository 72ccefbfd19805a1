// Package httpclient sends HTTP requests at most once and reports whether a failed request was
// sent. The HTTP clients of packages backend and provider use it.
//
// When a reused connection breaks, net/http resends requests with an idempotent method or an
// Idempotency-Key header. It also follows redirects. Send prevents both.
//
// # Usage
//
//	client := httpclient.New("http://127.0.0.1:7001", http.DefaultClient)
//	err := client.Post(ctx, "/purchases", purchase, &instance)
//	if errors.Is(err, httpclient.ErrNotSent) {
//		// The server received nothing.
//	}
package httpclient
