package settings

import "time"

const (
	defaultMaxBodyBytes      = 8 << 20
	defaultMaxHeaderBytes    = 32 << 10
	defaultReadHeaderTimeout = 5 * time.Second
	defaultMaxConnections    = 4096

	minHeaderBytes = 1 << 10
)

// Limits holds the limits for requests and connections of callers.
type Limits struct {
	// MaxBodyBytes limits the body of a request.
	MaxBodyBytes int64 `json:"maxBodyBytes"`
	// MaxHeaderBytes limits the header of a request.
	MaxHeaderBytes int `json:"maxHeaderBytes"`
	// ReadHeaderTimeout limits the time in which a caller must send the header.
	ReadHeaderTimeout time.Duration `json:"readHeaderTimeout"`
	// MaxConnections limits the open connections of all callers.
	MaxConnections int `json:"maxConnections"`
}

func defaultLimits() Limits {
	return Limits{
		MaxBodyBytes:      defaultMaxBodyBytes,
		MaxHeaderBytes:    defaultMaxHeaderBytes,
		ReadHeaderTimeout: defaultReadHeaderTimeout,
		MaxConnections:    defaultMaxConnections,
	}
}

func (s Limits) check(c *checker) {
	if s.MaxBodyBytes <= 0 {
		c.report("limits.maxBodyBytes", "must be above 0")
	}

	if s.MaxHeaderBytes < minHeaderBytes {
		c.report("limits.maxHeaderBytes", "must be at least %d", minHeaderBytes)
	}

	c.positive("limits.readHeaderTimeout", s.ReadHeaderTimeout)

	if s.MaxConnections <= 0 {
		c.report("limits.maxConnections", "must be above 0")
	}
}
