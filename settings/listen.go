package settings

// Listen holds the addresses at which the daemon accepts connections.
type Listen struct {
	// Callers is the address for client accounts.
	Callers string `json:"callers"`
	// Peers is the address for other entry instances.
	Peers string `json:"peers"`
	// Operators is the address for metrics, state and reports.
	Operators string `json:"operators"`
}

func (s Listen) check(c *checker) {
	c.listenAddress("listen.callers", s.Callers)
	c.listenAddress("listen.peers", s.Peers)
	c.listenAddress("listen.operators", s.Operators)
	c.distinct("listen.peers", s.Peers, "listen.callers", s.Callers)
	c.distinct("listen.operators", s.Operators, "listen.callers", s.Callers)
	c.distinct("listen.operators", s.Operators, "listen.peers", s.Peers)
}
