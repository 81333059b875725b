// Package routing matches a request to a route by host and path prefix, and selects the service for it. A Table is one
// immutable version of the routes. A Splitter distributes the requests of a route over its services by weight.
package routing

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrInvalid reports an invalid configuration. The message names the route, the service or the duplicate host and prefix, and the reason.
var ErrInvalid = errors.New("invalid configuration")

// Share is the share of a route's requests that is sent to one service.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight float64
}

// Route defines which requests it matches, their services, and how they are handled.
type Route struct {
	Name string
	// Host is compared without regard to case, port and a dot at its end. Prefix is a path prefix that begins and ends with a slash.
	Host, Prefix string
	// Shares lists the services over which the requests are distributed; most routes have one.
	Shares []Share
	// Idempotent requests may be run more than once.
	Idempotent bool
	// Bulk routes have large responses, for which traffic between data centres matters more than latency.
	Bulk bool
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	// Timeout is the longest time that a caller waits for a response. Objective is the target latency, within which a response has
	// its full value; the default is the timeout.
	Timeout, Objective time.Duration
	// MaxAttempts is the maximum number of backend servers that one request may be sent to.
	MaxAttempts int
}

// Service is the configuration of a service.
type Service struct {
	Name string
	// HealthPath is the path of health checks.
	HealthPath string
	// MaxConnections is the number of connections that one backend server accepts from all callers together.
	MaxConnections int
}

// Limits are the limits on the requests of callers: sizes in bytes, the time in which a request head must arrive and the time
// for which a connection may be idle.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Table is one immutable version of the routes.
type Table struct {
	// Version orders the tables; a newer table has a greater version.
	Version      int64
	Services     map[string]Service
	Limits       Limits
	routesByHost map[string][]*Route // longest prefix first
}

// maxAttempts bounds Route.MaxAttempts, because memory is reserved for each attempt of a request.
const maxAttempts = 100

// NewTable validates the configuration and returns its table. In routes it sets the default objective and reduces a number of attempts
// above maxAttempts. Error: ErrInvalid.
func NewTable(version int64, routes []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{Version: version, Limits: limits, Services: map[string]Service{}, routesByHost: map[string][]*Route{}}
	if err := limits.check(); err != nil {
		return nil, err
	}
	for i := range services {
		if err := t.addService(&services[i]); err != nil {
			return nil, errors.Wrapf(err, "service %q", services[i].Name)
		}
	}
	names := make(map[string]struct{}, len(routes))
	for i := range routes {
		r := &routes[i]
		if _, exists := names[r.Name]; exists {
			return nil, errors.Wrapf(ErrInvalid, "two routes have the name %q", r.Name)
		}
		names[r.Name] = struct{}{}
		if err := t.addRoute(r); err != nil {
			return nil, errors.Wrapf(err, "route %q", r.Name)
		}
	}
	if err := t.sortRoutes(); err != nil {
		return nil, err
	}
	return t, nil
}

// check validates the limits. Error: ErrInvalid.
func (l Limits) check() error {
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		return errors.Wrapf(ErrInvalid, "a limit is negative: %+v", l)
	}
	return nil
}

// addService validates a service and adds it. Error: ErrInvalid.
func (t *Table) addService(s *Service) error {
	_, exists := t.Services[s.Name]
	switch {
	case s.Name == "":
		return errors.Wrap(ErrInvalid, "the name is empty")
	case exists:
		return errors.Wrap(ErrInvalid, "there are two services of this name")
	case !validHealthPath(s.HealthPath):
		return errors.Wrapf(ErrInvalid, "the health path %q is not a path", s.HealthPath)
	case s.MaxConnections < 0:
		return errors.Wrapf(ErrInvalid, "the maximum number of connections is negative: %d", s.MaxConnections)
	}
	t.Services[s.Name] = *s
	return nil
}

// validHealthPath reports whether a path is empty, for a service without health checks, or can be sent in a request line.
func validHealthPath(path string) bool {
	unprintable := func(r rune) bool { return r <= ' ' || r == 0x7f }
	return path == "" || path[0] == '/' && !strings.ContainsFunc(path, unprintable)
}

// addRoute validates a route and adds it. Error: ErrInvalid.
func (t *Table) addRoute(r *Route) error {
	if err := t.checkRoute(r); err != nil {
		return err
	}
	if r.Objective == 0 {
		r.Objective = r.Timeout
	}
	r.MaxAttempts = min(r.MaxAttempts, maxAttempts)
	host := normalizeHost(r.Host)
	t.routesByHost[host] = append(t.routesByHost[host], r)
	return nil
}

// sortRoutes sorts the routes of each host. Error: ErrInvalid, if two have the same prefix.
func (t *Table) sortRoutes() error {
	for host, sorted := range t.routesByHost {
		slices.SortStableFunc(sorted, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
		for i := 1; i < len(sorted); i++ {
			if sorted[i].Prefix == sorted[i-1].Prefix {
				return errors.Wrapf(ErrInvalid, "two routes have the same host and prefix %s%s", host, sorted[i].Prefix)
			}
		}
	}
	return nil
}

// checkRoute validates one route. Error: ErrInvalid.
func (t *Table) checkRoute(r *Route) error {
	switch {
	case r.Name == "":
		return errors.Wrap(ErrInvalid, "the name is empty")
	case normalizeHost(r.Host) == "":
		return errors.Wrapf(ErrInvalid, "the host %q is empty", r.Host)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.Wrapf(ErrInvalid, "prefix %q does not begin and end with a slash", r.Prefix)
	case r.Timeout <= 0:
		return errors.Wrapf(ErrInvalid, "the timeout is not positive: %s", r.Timeout)
	case r.Objective < 0:
		return errors.Wrapf(ErrInvalid, "the objective is negative: %s", r.Objective)
	case r.MaxAttempts < 1:
		return errors.Wrapf(ErrInvalid, "the maximum number of attempts is less than 1: %d", r.MaxAttempts)
	}
	total := 0.0
	for _, s := range r.Shares {
		if _, ok := t.Services[s.Service]; !ok {
			return errors.Wrapf(ErrInvalid, "unknown service %q", s.Service)
		}
		if s.Weight < 0 {
			return errors.Wrapf(ErrInvalid, "the weight of service %q is negative", s.Service)
		}
		total += s.Weight
	}
	// Written as a range, so that NaN is rejected.
	if !(total > 0 && total <= math.MaxFloat64) {
		return errors.Wrapf(ErrInvalid, "the sum of the weights is not positive or not finite: %v", total)
	}
	return nil
}

// Match returns the route of host with the longest prefix that matches path, or nil if there is none.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.routesByHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Routes returns all routes in no particular order of hosts.
func (t *Table) Routes() []*Route {
	return slices.Concat(slices.Collect(maps.Values(t.routesByHost))...)
}

// normalizeHost returns the host in lower case, without its port and without the dot at the end of an absolute domain name.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
