package settings

import (
	"net"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"monsoonlever/document"
	"monsoonlever/finding"
)

// checker validates the values of settings and reports findings with their field and line.
type checker struct {
	document *document.Document
	findings *finding.List
}

func (c *checker) report(field, message string, args ...any) {
	c.document.Report(c.findings, field, message, args...)
}

func (c *checker) required(field, value string) {
	if value == "" {
		c.report(field, "is missing")
	}
}

func (c *checker) name(field, value string) {
	switch {
	case value == "":
		c.report(field, "is missing")
	case !document.IsName(value):
		c.report(field, "must be %s", document.NameRule)
	}
}

func (c *checker) positive(field string, d time.Duration) {
	if d <= 0 {
		c.report(field, "must be above 0")
	}
}

// listenAddress checks an IP address and port to listen on. An empty or unspecified host is
// valid and means all addresses of the machine.
func (c *checker) listenAddress(field, value string) {
	if value == "" {
		c.report(field, "is missing")

		return
	}

	host, ok := splitAddress(value)
	if !ok || (host != "" && !isIP(host)) {
		c.report(field, "must be an IP number and port such as \"10.0.0.1:8080\", not %q", value)
	}
}

// dialAddress checks an IP address and port to connect to. An empty or unspecified host is a
// finding, since a peer can't dial it.
func (c *checker) dialAddress(field, value string) {
	if value == "" {
		c.report(field, "is missing")

		return
	}

	host, ok := splitAddress(value)
	if !ok || !isIP(host) || netip.MustParseAddr(host).IsUnspecified() {
		c.report(field, "must be the IP number and port that peers dial, not %q", value)
	}
}

func (c *checker) seeds(field string, values []string) {
	seen := map[string]bool{}

	for i, value := range values {
		item := document.Item(field, i)
		c.dialAddress(item, value)

		if seen[value] {
			c.report(item, "is a duplicate of %q", value)
		}

		seen[value] = true
	}
}

func (c *checker) distinct(field, value, otherField, other string) {
	if value != "" && value == other {
		c.report(field, "must differ from %s", otherField)
	}
}

func (c *checker) url(field, value string) {
	if value == "" {
		c.report(field, "is missing")

		return
	}

	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.report(field, "must be an http or https URL, not %q", value)
	}
}

func splitAddress(value string) (string, bool) {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		return "", false
	}

	_, err = strconv.ParseUint(port, 10, 16)

	return host, err == nil
}

func isIP(host string) bool {
	_, err := netip.ParseAddr(host)

	return err == nil
}
