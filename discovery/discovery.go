// Package discovery keeps the picture that an entry instance has of the backend
// servers.
//
// A Watcher polls the platform's instance list, the reclaim notices of the
// cloud API, and each backend server's own word on its load, state and cache.
// It feeds a routing.Table and an answer.Leaving, and holds a client for each
// server in a Directory. Every source may lag or fail; what was last heard
// stays in use.
//
// # Usage
//
//	directory := discovery.NewDirectory(clients)
//	watcher := &discovery.Watcher{
//		Clock: clock.System{}, List: list, Cloud: cloud,
//		Directory: directory, Table: table, Leaving: leaving,
//		IsModel: isModel,
//	}
//	go watcher.Run(ctx)
package discovery
