package settings

// TLS holds the paths of the files for mutual TLS between entry instances.
type TLS struct {
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`
	// CAFile has the certificate of the authority that signs the certificates of peers.
	CAFile string `json:"caFile"`
}

func (s TLS) check(c *checker) {
	c.required("tls.certFile", s.CertFile)
	c.required("tls.keyFile", s.KeyFile)
	c.required("tls.caFile", s.CAFile)
}
