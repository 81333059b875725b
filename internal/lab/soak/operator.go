package soak

import (
	"encoding/json"
	"fmt"
	"log"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"

	"github.com/hornbeamway/hornbeamway/internal/standin/logservice"
	"github.com/hornbeamway/hornbeamway/internal/standin/platformserver"
)

const (
	configKey = "config"
	host      = "soak.example"
	// maxAddedRoutes bounds the added routes of a configuration, and recentAddedRoutes the added routes to which callers send requests,
	// removed ones included.
	maxAddedRoutes    = 4
	recentAddedRoutes = 8
	// addedShare is the share of the requests that are sent on added routes.
	addedShare = 0.3
)

// operator writes configurations to the store and tells the checker about them. It is safe for concurrent use.
type operator struct {
	store   *logservice.Service
	checker *checker
	log     *log.Logger

	mu     sync.Mutex
	random *rand.Rand
	// routes lists all routes that the configurations of the run have had. The first ones are in each of them.
	routes []route
	// newest is the newest configuration, and record what was written for it.
	newest configuration
	record []byte
	// reserved is set while a series of changes must not be mixed with others.
	reserved bool
}

// newOperator returns an operator that has written its first configuration.
func newOperator(store *logservice.Service, c *checker, log *log.Logger, random *rand.Rand, firstVersion int64) *operator {
	o := &operator{store: store, checker: c, log: log, random: random, routes: slices.Clone(routes)}
	o.newest.version = firstVersion
	for _, r := range routes {
		o.newest.services = append(o.newest.services, r.allowed[0])
	}
	o.writeLocked()
	return o
}

// pickRoute returns a random route for a request, and its index.
func (o *operator) pickRoute() (index int, r route) {
	o.mu.Lock()
	defer o.mu.Unlock()
	index = rand.IntN(len(routes))
	if added := len(o.routes) - len(routes); added > 0 && rand.Float64() < addedShare {
		index = len(o.routes) - 1 - rand.IntN(min(added, recentAddedRoutes))
	}
	return index, o.routes[index]
}

// change writes a new configuration, which by draw assigns a route to another service, adds a route or removes an added one.
func (o *operator) change(draw int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newest.services = slices.Clone(o.newest.services)
	oldest, count := o.addedLocked()
	kind := draw / victimRange % 3
	switch {
	case kind == 0:
		o.switchRouteLocked(draw % len(routes))
	case count == maxAddedRoutes || kind == 1 && count > 0:
		o.newest.services[oldest] = ""
	default:
		o.addRouteLocked(draw)
	}
	o.newest.version += 1 + o.random.Int64N(3)
	o.writeLocked()
}

// addedLocked returns the index of the oldest added route of the newest configuration, and the number of its added routes. mu must be held.
func (o *operator) addedLocked() (oldest, count int) {
	for i := len(o.routes) - 1; i >= len(routes); i-- {
		if o.newest.services[i] != "" {
			oldest = i
			count++
		}
	}
	return oldest, count
}

// switchRouteLocked assigns a route to the other service of its kind. mu must be held.
func (o *operator) switchRouteLocked(index int) {
	allowed := o.routes[index].allowed
	o.newest.services[index] = allowed[1-slices.Index(allowed, o.newest.services[index])]
}

// addRouteLocked adds a route with a new prefix to a service that exists. mu must be held.
func (o *operator) addRouteLocked(draw int) {
	name := fmt.Sprintf("added-%03d", len(o.routes))
	o.routes = append(o.routes, route{name, "/" + name + "/", "safe", services[:2]})
	o.newest.services = append(o.newest.services, services[draw%2])
}

// writeLocked writes the newest configuration to the store. mu must be held.
func (o *operator) writeLocked() {
	o.record, _ = json.Marshal(o.documentLocked())
	o.checker.configurationSent(o.newest, o.routes)
	offset := o.store.Put(topicConfig, configKey, o.record)
	o.log.Printf("configuration r%d at offset %d: %v", o.newest.version, offset, o.newest.services)
	o.checker.configurationAcknowledged()
}

// writeAgain writes the newest configuration once more.
func (o *operator) writeAgain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	offset := o.store.Put(topicConfig, configKey, o.record)
	o.log.Printf("configuration r%d again at offset %d", o.newest.version, offset)
}

// reserve prevents other changes until release is called. It fails if the operator is reserved already.
func (o *operator) reserve() (release func(), ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.reserved {
		return nil, false
	}
	o.reserved = true
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.reserved = false
	}, true
}

// document is a configuration as the operator writes it.
type document struct {
	Version   string     `json:"version"`
	Resources []resource `json:"resources,omitempty"`
}

// resource is one item of a document. Spec is a routeSpec, serviceSpec or limitsSpec.
type resource struct {
	Type     string           `json:"type"`
	Metadata resourceMetadata `json:"metadata"`
	Spec     any              `json:"spec"`
}

type resourceMetadata struct {
	Name string `json:"name,omitempty"`
}

type routeSpec struct {
	Host            string `json:"host"`
	PathPrefix      string `json:"path_prefix"`
	Kind            string `json:"kind"`
	TimeoutMs       int64  `json:"timeout_ms"`
	TargetLatencyMs int64  `json:"target_latency_ms"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"max_attempts"`
}

type serviceSpec struct {
	HealthPath string `json:"health_path"`
	MaxConns   int    `json:"max_conns"`
}

type limitsSpec struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMs int `json:"header_timeout_ms"`
	IdleTimeoutMs   int `json:"idle_timeout_ms"`
}

// documentLocked returns the newest configuration as the operator writes it. mu must be held.
func (o *operator) documentLocked() document {
	d := document{Version: formatVersion(o.newest.version)}
	for i, r := range o.routes {
		if service := o.newest.services[i]; service != "" {
			d.Resources = append(d.Resources, routeResource(i, r, service))
		}
	}
	for _, s := range services {
		d.Resources = append(d.Resources, resource{"services", resourceMetadata{s}, serviceSpec{platformserver.HealthPath, 240}})
	}
	limits := limitsSpec{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}
	d.Resources = append(d.Resources, resource{Type: "limits", Spec: limits})
	return d
}

// routeResource returns the resource of a route that leads to a service. The first route has the highest priority.
func routeResource(index int, r route, service string) resource {
	return resource{"routes", resourceMetadata{r.name}, routeSpec{Host: host, PathPrefix: r.prefix, Kind: r.kind,
		TimeoutMs: routeTimeout.Milliseconds(), TargetLatencyMs: 200, Priority: min(index, len(routes)-1), Service: service,
		MaxAttempts: 2}}
}

func formatVersion(version int64) string { return "r" + strconv.FormatInt(version, 10) }
