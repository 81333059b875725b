// Package routing finds the route of a request by its host and path and the service that a route sends it to. A Table is
// one version of the routes and never changes; a Splitter shares the requests of a route between services by weight.
package routing

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrInvalid reports routes that cannot be used. The message names the route and the reason.
var ErrInvalid = errors.New("invalid routes")

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight float64
}

// Route says where requests go and what may be done with them.
type Route struct {
	Name string
	// Host is compared without case and port. Prefix begins and ends with a slash.
	Host, Prefix string
	// Shares are the services that the requests are divided between; one of them for most routes.
	Shares []Share
	// Idempotent requests may be run more than once.
	Idempotent bool
	// Bulk answers are large; bytes between data centres count for more than latency.
	Bulk bool
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	// Timeout is the longest time that a caller is kept waiting. Objective is the latency within which an answer is of full
	// use; by default the timeout.
	Timeout, Objective time.Duration
	// MaxAttempts is the largest number of backend servers that one request may be sent to.
	MaxAttempts int
}

// Service is what the routes say of a service.
type Service struct {
	Name string
	// HealthPath answers health checks.
	HealthPath string
	// MaxConnections is the number of connections that one backend server accepts from all callers together.
	MaxConnections int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Table is one version of the routes.
type Table struct {
	// Version orders the tables; a later one is greater.
	Version  int64
	Services map[string]Service
	Limits   Limits
	hosts    map[string][]*Route // longest prefix first
}

// NewTable checks the routes and returns their table. Error: ErrInvalid.
func NewTable(version int64, routes []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{Version: version, Limits: limits, Services: map[string]Service{}, hosts: map[string][]*Route{}}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		if err := t.check(r); err != nil {
			return nil, errors.Wrapf(err, "route %q", r.Name)
		}
		if r.Objective <= 0 {
			r.Objective = r.Timeout
		}
		host := normalHost(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for host, found := range t.hosts {
		slices.SortStableFunc(found, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
		for i := 1; i < len(found); i++ {
			if found[i].Prefix == found[i-1].Prefix {
				return nil, errors.Wrapf(ErrInvalid, "two routes for %s%s", host, found[i].Prefix)
			}
		}
	}
	return t, nil
}

func (t *Table) check(r *Route) error {
	switch {
	case r.Host == "":
		return errors.Wrap(ErrInvalid, "no host")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.Wrapf(ErrInvalid, "prefix %q does not begin and end with a slash", r.Prefix)
	case r.Timeout <= 0:
		return errors.Wrap(ErrInvalid, "no timeout")
	case r.MaxAttempts < 1:
		return errors.Wrap(ErrInvalid, "no attempt allowed")
	}
	total := 0.0
	for _, s := range r.Shares {
		if _, ok := t.Services[s.Service]; !ok {
			return errors.Wrapf(ErrInvalid, "unknown service %q", s.Service)
		}
		if s.Weight < 0 {
			return errors.Wrapf(ErrInvalid, "negative weight of %q", s.Service)
		}
		total += s.Weight
	}
	if total <= 0 {
		return errors.Wrap(ErrInvalid, "no service")
	}
	return nil
}

// Match returns the route with the longest prefix of path among the routes of host, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[normalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Routes returns all routes.
func (t *Table) Routes() []*Route {
	return slices.Concat(slices.Collect(maps.Values(t.hosts))...)
}

// normalHost returns the host in lower case without its port.
func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
