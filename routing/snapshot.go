package routing

// snapshot is what Pick reads. It is immutable, but for the atomics of servers
// and pool states.
type snapshot struct {
	pools  map[Key]*pool
	policy Policy
	order  serverOrder
}
