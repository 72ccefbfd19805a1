package routing

// snapshot is the state that Pick reads. It is immutable, except for the atomics in the
// servers and pool states that it points to.
type snapshot struct {
	pools  map[Key]*pool
	policy Policy
	order  serverOrder
}
