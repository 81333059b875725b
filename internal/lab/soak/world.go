// Package soak plays random faults on real entry VMs of the platform form and checks the users' promises from what callers
// and backend servers see. The VMs are processes; the store, the backend servers and the proxies between them are stand-ins in
// this process.
package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/internal/standin/logservice"
	"github.com/hornbeamway/hornbeamway/internal/standin/platformserver"
)

// Topics and ports of the stand-ins.
const (
	topicConfig  = "keyed.op"
	topicServers = "keyed.servers"
	heartbeat    = 1500 * time.Millisecond
	// lapse is the silence after which an entry is removed.
	lapse = 3 * heartbeat
	// callersPort, healthPort and peerPort are the same on each VM; VMs have loopback addresses of their own.
	callersPort, healthPort, peerPort = "8548", "8542", "7540"
	stopSeconds                       = 6
)

// zones are the data centres with their regions.
var zones = []struct{ name, region string }{{"west-1", "west"}, {"west-2", "west"}, {"east-1", "east"}, {"east-2", "east"}}

// services and their routes. Every route begins at its own service and moves between the two of its kind.
var services = []string{"lookup-a", "lookup-b", "order-a", "order-b"}

// route of the configuration.
type route struct {
	name, prefix, kind string
	allowed            []string
}

var routes = []route{
	{"lookups", "/lookup/", "safe", services[:2]},
	{"orders", "/order/", "unsafe", services[2:]},
}

// world is the system under test and what surrounds it.
type world struct {
	dir, bin string
	random   *rand.Rand
	store    *logservice.Service
	storeAt  string
	vms      []*vm
	judge    *judge

	mu      sync.Mutex
	servers map[string]*server
	nextID  int
	version int64
	routed  []int // per route the index of its service
}

// vm is one entry VM behind a proxy to the store.
type vm struct {
	index                   int
	name, ip, settings, log string
	store                   *proxy
	mu                      sync.Mutex
	process                 *cluster.Process
	// claimed says that a fault is being played on the VM; stopping that it is a planned stop.
	claimed, stopping bool
}

// server is a backend server behind a proxy.
type server struct {
	*platformserver.Server
	proxy   *proxy
	born    int64
	seq     int
	state   string
	zone    string
	silent  bool
	lastSay time.Time
}

func newWorld(o Options, j *judge) (*world, error) {
	dir, err := os.MkdirTemp("", "hornbeamsoak-")
	if err != nil {
		return nil, errors.Wrap(err, "make a directory")
	}
	w := &world{dir: dir, bin: o.Bin, random: rand.New(rand.NewPCG(o.Seed, o.Seed)), judge: j, servers: map[string]*server{},
		routed: make([]int, len(routes)), store: logservice.New(logservice.Options{Seed: o.Seed})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the store")
	}
	w.storeAt = l.Addr().String()
	go func() { _ = w.store.Serve(l) }()
	w.publishConfig()
	for _, service := range services {
		for range o.ServersEach {
			if err := w.addServer(service, "127.0.0.1:0"); err != nil {
				return nil, err
			}
		}
	}
	for i := range o.VMs {
		v := &vm{index: i, name: fmt.Sprintf("vm-%02d", i), ip: fmt.Sprintf("127.%d.%d.%d", 10+o.Seed%200, 1+o.Network%200, 1+i)}
		v.settings, v.log = filepath.Join(dir, v.name+".json"), filepath.Join(dir, v.name+".log")
		if v.store, err = startProxy("127.0.0.1:0", w.storeAt); err != nil {
			return nil, errors.Wrap(err, "start a proxy")
		}
		w.vms = append(w.vms, v)
	}
	for _, v := range w.vms {
		if err := w.writeSettings(v, 0); err != nil {
			return nil, err
		}
		if err := v.start(w.bin); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// writeSettings writes the settings of a VM whose seeds are two VMs, from a number on.
func (w *world) writeSettings(v *vm, firstSeed int) error {
	regions := map[string]string{}
	for _, z := range zones {
		regions[z.name] = z.region
	}
	place := zones[v.index%len(zones)]
	seed := func(i int) string { return w.vms[(firstSeed+i)%len(w.vms)].ip + ":1" }
	data, err := json.Marshal(map[string]any{
		"self": map[string]any{"node_name": v.name, "ip": v.ip, "zone": place.name, "region": place.region},
		"network": map[string]any{
			"listen":              map[string]string{"front": v.ip + ":" + callersPort, "ready": v.ip + ":" + healthPort},
			"internal_port_range": []int{7540, 7555}, "zones": regions, "seeds": []string{seed(0), seed(1)},
		},
		"platform": map[string]any{"platform": map[string]string{"address": v.store.address()}},
		"terms":    map[string]any{"bounds": map[string]any{"grace_s": stopSeconds, "retry_budget_ratio": 0.2, "retry_budget_slack": 60}},
	})
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	// A VM that starts meanwhile must not read half a file.
	if err := os.WriteFile(v.settings+".new", data, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return os.Rename(v.settings+".new", v.settings)
}

func (v *vm) start(bin string) error {
	p, err := cluster.StartProcess(v.name, v.log, []string{"HORNBEAMWAY_BOOT=" + v.settings}, filepath.Join(bin, "hornbeamway"), "platform")
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.process, v.stopping = p, false
	return nil
}

func (v *vm) current() *cluster.Process {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process
}

func (v *vm) callers() string { return v.ip + ":" + callersPort }

// close ends everything that this world started.
func (w *world) close() {
	for _, v := range w.vms {
		if p := v.current(); p != nil && p.Running() {
			_ = p.Resume()
			p.Kill()
		}
		v.store.close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		s.proxy.close()
		s.Close()
	}
	_ = w.store.Close()
}

// addServer starts a backend server and its proxy on an address.
func (w *world) addServer(service, address string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	id := serverID(w.nextID)
	s, err := platformserver.Start(id, service, "127.0.0.1:0", 15*time.Millisecond, w.judge.ran)
	if err != nil {
		return errors.Wrap(err, "start a backend server")
	}
	p, err := startProxy(address, s.Address())
	if err != nil {
		s.Close()
		return errors.Wrap(err, "start a proxy")
	}
	// The clocks of servers differ.
	born := time.Now().Add(time.Duration(w.nextID%5-2) * time.Second).UnixMilli()
	w.servers[id] = &server{Server: s, proxy: p, born: born, state: "ready", zone: zones[w.nextID%len(zones)].name}
	w.say(w.servers[id])
	return nil
}

func serverID(number int) string { return fmt.Sprintf("i-%03d", number) }

// say writes what a server says of itself.
func (w *world) say(s *server) {
	s.seq++
	s.lastSay = time.Now()
	data, _ := json.Marshal(map[string]any{"service": s.Service, "address": s.proxy.address(), "zone": s.zone, "version": "v1",
		"slots": 3, "state": s.state, "warmup_left_ms": 0, "seq": s.seq, "born": s.born})
	w.store.Put(topicServers, s.ID, data)
}

// beat writes the servers' heartbeats. The store takes none while it is down.
func (w *world) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.store.Faults().Down {
		return
	}
	for _, s := range w.servers {
		if !s.silent && time.Since(s.lastSay) >= heartbeat {
			w.say(s)
		}
	}
}

// publishConfig writes the next configuration and returns its version.
func (w *world) publishConfig() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 1 + w.random.Int64N(3)
	var items []map[string]any
	for i, r := range routes {
		items = append(items, map[string]any{"type": "routes", "metadata": map[string]string{"name": r.name}, "spec": map[string]any{
			"host": "soak.example", "path_prefix": r.prefix, "kind": r.kind, "timeout_ms": 1000, "target_latency_ms": 200,
			"priority": i, "service": r.allowed[w.routed[i]], "max_attempts": 2}})
	}
	for _, s := range services {
		items = append(items, map[string]any{"type": "services", "metadata": map[string]string{"name": s},
			"spec": map[string]any{"health_path": platformserver.HealthPath, "max_conns": 240}})
	}
	items = append(items, map[string]any{"type": "limits", "metadata": map[string]string{}, "spec": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	data, _ := json.Marshal(map[string]any{"version": "r" + strconv.FormatInt(w.version, 10), "resources": items})
	w.store.Put(topicConfig, "config", data)
	w.judge.configured(w.routed)
	return w.version
}
