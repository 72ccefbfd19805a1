// Package httpclient sends HTTP requests at most once and tells whether they
// left this process at all. The clients of the ports are built on it.
//
// net/http sends some requests again by itself when a reused connection breaks:
// those with a method that is idempotent, and those with an Idempotency-Key.
// It follows redirects as well. Send prevents both.
//
// # Usage
//
//	client := httpclient.New("http://127.0.0.1:7001", http.DefaultClient)
//	err := client.Post(ctx, "/purchases", purchase, &instance)
//	if errors.Is(err, httpclient.ErrNotSent) {
//		// nothing of it left
//	}
package httpclient
