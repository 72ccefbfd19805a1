package settings

// TLS names the files for the connections between entry instances.
type TLS struct {
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`
	// CAFile holds the authority that signs the certificates of peers.
	CAFile string `json:"caFile"`
}

func (s TLS) check(c *checker) {
	c.required("tls.certFile", s.CertFile)
	c.required("tls.keyFile", s.KeyFile)
	c.required("tls.caFile", s.CAFile)
}
