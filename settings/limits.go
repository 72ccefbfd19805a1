package settings

import "time"

const (
	defaultMaxBodyBytes      = 8 << 20
	defaultMaxHeaderBytes    = 32 << 10
	defaultReadHeaderTimeout = 5 * time.Second
	defaultMaxConnections    = 4096

	minHeaderBytes = 1 << 10
)

// Limits bound what one caller connection or all of them may cost.
type Limits struct {
	// MaxBodyBytes bounds the body of one request.
	MaxBodyBytes int64 `json:"maxBodyBytes"`
	// MaxHeaderBytes bounds the header of one request.
	MaxHeaderBytes int `json:"maxHeaderBytes"`
	// ReadHeaderTimeout bounds the time a caller takes to send its header.
	ReadHeaderTimeout time.Duration `json:"readHeaderTimeout"`
	// MaxConnections bounds the open connections of callers.
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
