package manifest

import (
	"regexp"
	"time"

	"monsoonlever/document"
	"monsoonlever/finding"
	"monsoonlever/fleet"
	"monsoonlever/provider"
)

const (
	minPriority = 0
	maxPriority = 100
)

var currencyCode = regexp.MustCompile(`^[A-Z]{3}$`)

// sale says that a failure domain has a machine class.
type sale struct {
	domain fleet.FailureDomain
	class  provider.Class
}

// checker reports what is wrong in a decoded manifest.
type checker struct {
	document *document.Document
	findings *finding.List
	wire     *wireManifest

	domains  map[fleet.FailureDomain]bool
	sold     map[sale]bool
	classes  map[provider.Class]int
	models   map[fleet.Model]bool
	services map[fleet.Service]Kind
	hashes   map[keyHash]string
}

func newChecker(d *document.Document, l *finding.List, wire *wireManifest) *checker {
	return &checker{
		document: d,
		findings: l,
		wire:     wire,
		domains:  map[fleet.FailureDomain]bool{},
		sold:     map[sale]bool{},
		classes:  map[provider.Class]int{},
		models:   map[fleet.Model]bool{},
		services: map[fleet.Service]Kind{},
		hashes:   map[keyHash]string{},
	}
}

// check goes through the sections in an order in which each finds the names
// that it refers to.
func (c *checker) check() {
	c.name("name", c.wire.Name)

	if !currencyCode.MatchString(c.wire.Currency) {
		c.report("currency", "must be an ISO 4217 code such as \"DKK\"")
	}

	c.checkRegions()
	c.checkModels()
	c.checkIdempotency()
	c.checkServices()
	c.checkAccounts()
	c.checkCapacity()
}

func (c *checker) checkIdempotency() {
	w := c.wire.Idempotency
	c.positiveDuration("idempotency.logRetention", w.LogRetention)
	c.checkKeyWindow("idempotency.keyWindow", w.KeyWindow)
}

func (c *checker) checkKeyWindow(field string, window time.Duration) {
	retention := c.wire.Idempotency.LogRetention

	switch {
	case window <= 0:
		c.report(field, "must be above 0")
	case retention > 0 && window > retention:
		c.report(field, "is %v, longer than the log keeps records (%v)", window, retention)
	case retention > 0 && window > remembered(retention):
		c.report(field, "is %v, longer than keys are remembered (%v)", window, remembered(retention))
	}
}

func (c *checker) report(field, message string, args ...any) {
	c.document.Report(c.findings, field, message, args...)
}

func (c *checker) name(field, value string) {
	switch {
	case value == "":
		c.report(field, "is missing")
	case !document.IsName(value):
		c.report(field, "must be %s, not %q", document.NameRule, value)
	}
}

func (c *checker) positiveDuration(field string, d time.Duration) {
	if d <= 0 {
		c.report(field, "must be above 0")
	}
}

func (c *checker) positive(field string, n float64) {
	if n <= 0 {
		c.report(field, "must be above 0")
	}
}

func (c *checker) notNegative(field string, n float64) {
	if n < 0 {
		c.report(field, "must not be below 0")
	}
}

func (c *checker) priority(field string, p fleet.Priority) {
	if p < minPriority || p > maxPriority {
		c.report(field, "must be from %d to %d", minPriority, maxPriority)
	}
}

// unique reports a name of seen that comes again and remembers it otherwise.
func unique[K comparable](c *checker, seen map[K]bool, field string, name K) {
	if seen[name] {
		c.report(field, "is a duplicate of %v", name)
	}

	seen[name] = true
}
