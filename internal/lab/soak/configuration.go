package soak

import (
	"slices"
	"time"
)

const (
	// rollbackSlack is the time after a server saw the effect of a configuration on a VM from which the VM may not apply an earlier one to
	// requests, and slowedRollbackSlack the same for a VM whose process was disturbed.
	rollbackSlack       = 250 * time.Millisecond
	slowedRollbackSlack = 8 * rollbackSlack
)

// configuration is one that the operator has written.
type configuration struct {
	version int64
	// services holds the service of each route, empty if the configuration lacks the route.
	services []string
	// acknowledgedAt is the time at which the store acknowledged it, zero if it has not yet.
	acknowledgedAt time.Time
}

// noService stands for the response that there is no route.
const noService = ""

// service returns the service to which a route leads, or noService.
func (c *configuration) service(route int) string {
	if route >= len(c.services) {
		return noService
	}
	return c.services[route]
}

// sighting is the first time at which a server saw that a VM applied a configuration or a later one.
type sighting struct {
	at time.Time
	// index is that of the configuration in configurations.all.
	index int
}

// configurations holds the configurations of a run and what is known of those in force on each VM.
type configurations struct {
	// all lists the configurations in the order of their versions.
	all []configuration
	// startedAt holds the time of the last start of a VM, and sightings what servers have seen of the VM since then, in ascending order.
	startedAt map[string]time.Time
	sightings map[string][]sighting
}

func newConfigurations() configurations {
	return configurations{startedAt: map[string]time.Time{}, sightings: map[string][]sighting{}}
}

// configurationSent records a configuration that the operator is about to write, and the routes of all configurations so far.
func (c *checker) configurationSent(sent configuration, routes []route) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routes = slices.Clone(routes)
	c.configurations.all = append(c.configurations.all, sent)
}

// configurationAcknowledged records that the store has acknowledged the newest configuration.
func (c *checker) configurationAcknowledged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configurations.all[len(c.configurations.all)-1].acknowledgedAt = c.now()
}

// vmStarted records that the process of a VM starts.
func (c *checker) vmStarted(vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configurations.startedAt[vm] = c.now()
	delete(c.configurations.sightings, vm)
}

// checkConfiguration checks how a VM handled a request: it sent it to a service, or responded that there is no route (noService). The newest
// configuration that allows this must not have been replaced more than applyBound before the request was sent, and must not be earlier than
// one that the VM has applied since its start. mu must be held.
func (c *checker) checkConfiguration(r *request, service string) {
	newest := c.configurations.newest(r.route, service)
	if newest < 0 {
		c.checkUnknownHandling(r, service)
		return
	}
	version := c.configurations.all[newest].version
	if replacedAt := c.configurations.replacedAt(newest); r.configUndisturbed && !replacedAt.IsZero() && r.sent.Sub(replacedAt) > applyBound {
		c.addViolationLocked("CONFIG: %s was handled by %s as only versions up to r%d allow (route %s, service %q), %v after the next version",
			r.id, r.vm, version, c.routes[r.route].name, service, r.sent.Sub(replacedAt).Round(time.Millisecond))
	}
	if applied := c.appliedBefore(r); newest < applied {
		c.addViolationLocked("CONFIG: %s was handled by %s as only versions up to r%d allow (route %s, service %q), after r%d was in force there",
			r.id, r.vm, version, c.routes[r.route].name, service, c.configurations.all[applied].version)
	}
}

// checkUnknownHandling reports a request that ran at a service to which no configuration leads its route. A response that there is no such
// route is checked by checkDenied. mu must be held.
func (c *checker) checkUnknownHandling(r *request, service string) {
	if service != noService {
		c.addViolationLocked("CONFIG: %s ran at %s, to which no configuration leads route %s", r.id, service, c.routes[r.route].name)
	}
}

// newest returns the index of the newest configuration that leads a route to a service, or -1.
func (c *configurations) newest(route int, service string) int {
	for i := len(c.all) - 1; i >= 0; i-- {
		if c.all[i].service(route) == service {
			return i
		}
	}
	return -1
}

// replacedAt returns the time at which the store acknowledged the configuration after the one with an index, or zero.
func (c *configurations) replacedAt(index int) time.Time {
	if index+1 >= len(c.all) {
		return time.Time{}
	}
	return c.all[index+1].acknowledgedAt
}

// appliedBefore returns the index of the latest configuration that the VM of a request had applied when the request was sent, less the
// slack, or -1 if it is not known. mu must be held.
func (c *checker) appliedBefore(r *request) int {
	slack := rollbackSlack
	if c.disturbedSince(r.sent.Add(-quietPeriod), r.vm) {
		slack = slowedRollbackSlack
	}
	applied := -1
	for _, s := range c.configurations.sightings[r.vm] {
		if r.sent.Sub(s.at) > slack {
			applied = s.index
		}
	}
	return applied
}

// recordSighting records that a request ran at a service: the VM has applied one of the configurations that lead the route there, none of
// them earlier than what it had applied before. Requests from before the VM's start do not count. mu must be held.
func (c *checker) recordSighting(r *request, service string) {
	if r.sent.Before(c.configurations.startedAt[r.vm]) {
		return
	}
	sightings := c.configurations.sightings[r.vm]
	latest := -1
	if len(sightings) > 0 {
		latest = sightings[len(sightings)-1].index
	}
	for i := max(0, c.appliedBefore(r)); i < len(c.configurations.all); i++ {
		if c.configurations.all[i].service(r.route) != service {
			continue
		}
		if i > latest {
			c.configurations.sightings[r.vm] = append(sightings, sighting{c.now(), i})
		}
		return
	}
}

// checkDenied checks a refusal of a proper request with a status that states a fault of the caller. No VM may so refuse a request that each
// configuration of the run allows, and an undisturbed VM none that each configuration allows that may be in force. mu must be held.
func (c *checker) checkDenied(r *request, status int) {
	if status < 300 || status >= 500 || isRefusal(status) {
		return
	}
	lacksRoute := status == 401 || status == 403 || status == 404
	if lacksRoute && c.configurations.allowedSince(r.route, 0) {
		c.addViolationLocked("DENIED: %s got status %d from %s on route %s, which each configuration has", r.id, status, r.vm,
			c.routes[r.route].name)
		return
	}
	if r.configUndisturbed && c.configurations.allowedSince(r.route, c.configurations.oldestInForce(r.sent)) {
		c.addViolationLocked("DENIED: %s got status %d from %s on route %s, which each configuration has that may be in force", r.id, status,
			r.vm, c.routes[r.route].name)
	}
}

// allowedSince reports whether the configuration with an index and all later ones have a route.
func (c *configurations) allowedSince(route, index int) bool {
	return !slices.ContainsFunc(c.all[index:], func(each configuration) bool { return each.service(route) == noService })
}

// oldestInForce returns the index of the oldest configuration that an undisturbed VM may apply to a request that was sent at a time.
func (c *configurations) oldestInForce(sent time.Time) int {
	for i := len(c.all) - 1; i > 0; i-- {
		if at := c.all[i].acknowledgedAt; !at.IsZero() && sent.Sub(at) > applyBound {
			return i
		}
	}
	return 0
}
