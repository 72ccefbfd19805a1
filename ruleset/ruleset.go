// Package ruleset represents the operators' rules for forwarded requests: routes,
// services, client accounts and connection limits.
//
// A Ruleset is immutable and is built from a complete Spec, so that the handling
// of a request uses one version and never a mixture of two.
//
// # Usage
//
//	rules, err := ruleset.New(spec)
//	if err != nil {
//		return err // lists all findings with their location
//	}
//	route, ok := rules.Match(host, path)
//	account, ok := rules.AccountByKey(key)
package ruleset

import (
	"fmt"
	"net"
	"sort"
	"strings"
	"time"

	"monsoonlever/finding"
	"monsoonlever/fleet"
)

// Spec is the decoded content of one version of the rules.
type Spec struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Limits bound the size of requests on a caller's connection, and its timeouts.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Ruleset is one validated version of the rules.
type Ruleset struct {
	version  uint64
	limits   Limits
	byHost   map[string][]*Route
	services map[fleet.Service]*Service
	accounts []*Account
	byKey    map[string]*Account
}

// New validates a spec and builds a ruleset from it. The error is a *finding.Error
// that lists all findings.
func New(s Spec) (*Ruleset, error) {
	r := &Ruleset{
		version:  s.Version,
		limits:   s.Limits,
		byHost:   make(map[string][]*Route),
		services: make(map[fleet.Service]*Service, len(s.Services)),
		byKey:    make(map[string]*Account),
	}

	var l finding.List

	for i := range s.Services {
		r.addService(&l, i, s.Services[i])
	}

	for i := range s.Accounts {
		r.addAccount(&l, i, s.Accounts[i])
	}

	for i := range s.Routes {
		r.addRoute(&l, i, s.Routes[i])
	}

	for _, routes := range r.byHost {
		sort.SliceStable(routes, func(a, b int) bool { return len(routes[a].Prefix) > len(routes[b].Prefix) })
	}

	if err := l.Err(); err != nil {
		return nil, err
	}

	return r, nil
}

func addFinding(l *finding.List, list string, i int, message string, args ...any) {
	l.Add("ruleset", 0, fmt.Sprintf("%s[%d]", list, i), message, args...)
}

func (r *Ruleset) addService(l *finding.List, i int, s Service) {
	switch {
	case s.Name == "":
		addFinding(l, "services", i, "has no name")
	case r.services[s.Name] != nil:
		addFinding(l, "services", i, "is a duplicate of %q", s.Name)
	default:
		r.services[s.Name] = &s
	}
}

func (r *Ruleset) addAccount(l *finding.List, i int, a Account) {
	if a.Name == "" {
		addFinding(l, "accounts", i, "has no name")

		return
	}

	r.accounts = append(r.accounts, &a)

	for _, key := range a.Keys {
		if other := r.byKey[key]; other != nil && other.Name != a.Name {
			addFinding(l, "accounts", i, "shares a key with %q", other.Name)

			continue
		}

		r.byKey[key] = &a
	}
}

func (r *Ruleset) addRoute(l *finding.List, i int, route Route) {
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		addFinding(l, "routes", i, "must have a prefix that begins and ends with a slash, not %q", route.Prefix)
	}

	if len(route.Targets) == 0 {
		addFinding(l, "routes", i, "names no service")
	}

	for _, t := range route.Targets {
		if r.services[t.Service] == nil {
			addFinding(l, "routes", i, "names the service %q, which is not listed", t.Service)
		}

		route.totalWeight += max(t.Weight, 0)
	}

	host := strings.ToLower(route.Host)
	r.byHost[host] = append(r.byHost[host], &route)
}

// Version returns the version number that the operators assigned.
func (r *Ruleset) Version() uint64 { return r.version }

// Limits returns the limits of callers' connections.
func (r *Ruleset) Limits() Limits { return r.limits }

// Accounts returns all client accounts.
func (r *Ruleset) Accounts() []*Account { return r.accounts }

// Service returns the service with a name, or nil.
func (r *Ruleset) Service(name fleet.Service) *Service { return r.services[name] }

// Services returns all services by name. The map must not be modified.
func (r *Ruleset) Services() map[fleet.Service]*Service { return r.services }

// RequiresKey reports whether requests must present the key of a client account.
func (r *Ruleset) RequiresKey() bool { return len(r.accounts) > 0 }

// AccountByKey returns the client account with a key.
func (r *Ruleset) AccountByKey(key string) (*Account, bool) {
	a, ok := r.byKey[key]

	return a, ok
}

// Match returns the route of a host with the longest prefix that matches the path.
// The host may include a port.
func (r *Ruleset) Match(host, path string) (*Route, bool) {
	routes := r.byHost[strings.ToLower(host)]
	if routes == nil {
		if name, _, err := net.SplitHostPort(host); err == nil {
			routes = r.byHost[strings.ToLower(name)]
		}
	}

	for _, route := range routes {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}

	return nil, false
}
