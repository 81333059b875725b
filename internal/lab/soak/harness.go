// Package soak injects random faults into a system of real entry VMs with the interfaces of the users' platform, and checks the
// guarantees from the observations of callers and backend servers. The VMs are processes; the store, the backend servers and the
// proxies between them are stand-ins in this process.
package soak

import (
	"encoding/json"
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/internal/standin/logservice"
)

// Topics of the stand-in store, times and ports.
const (
	topicConfig       = "keyed.op"
	topicServers      = "keyed.servers"
	heartbeatInterval = 1500 * time.Millisecond
	// recordTTL is the time after a server's last heartbeat at which its store record is removed.
	recordTTL = 3 * heartbeatInterval
	// callersPort, healthPort and peerPort are the same on each VM; each VM has its own loopback address.
	callersPort, healthPort, peerPort = "8548", "8542", "7540"
	stopSeconds                       = 6
	// serviceTime is the mean service time of a request. The objective of the routes is a few times as long, so that VMs probe
	// servers whose load reports are stale.
	serviceTime = 45 * time.Millisecond
)

// dataCentres lists the data centres with their regions.
var dataCentres = []struct{ name, region string }{{"west-1", "west"}, {"west-2", "west"}, {"east-1", "east"}, {"east-2", "east"}}

// services lists the services. Each route starts with the first service that it allows, and configuration changes switch it
// between the two services of its kind.
var services = []string{"lookup-a", "lookup-b", "order-a", "order-b"}

// route is one route of the configuration with the services to which it may lead.
type route struct {
	name, prefix, kind string
	allowed            []string
}

// routes lists the routes that each configuration has.
var routes = []route{
	{"lookups", "/lookup/", "safe", services[:2]},
	{"orders", "/order/", "unsafe", services[2:]},
}

// harness is the system under test with the stand-ins around it.
type harness struct {
	dir, binDir  string
	random       *rand.Rand
	store        *logservice.Service
	storeAddress string
	vms          []*vm
	checker      *checker
	operator     *operator
	// log lists faults and configurations with their times, for comparison with the logs of the VMs.
	log *log.Logger

	mu      sync.Mutex
	servers map[string]*server
	nextID  int
	// removedRecords lists the servers whose records were removed, and restoredRecords holds those of them whose records a copy of the
	// store has brought back, with the time of that.
	removedRecords  []removedRecord
	restoredRecords map[string]time.Time
}

// vm is one entry VM that reaches the store through a proxy.
type vm struct {
	index                           int
	name, ip, settingsFile, logFile string
	store                           *proxy
	mu                              sync.Mutex
	process                         *cluster.Process
	// acquired is set while a fault acts on the VM's process; stopping is set during a planned stop.
	acquired, stopping bool
}

func newHarness(o Options, c *checker) (*harness, error) {
	dir, err := os.MkdirTemp("", "hornbeamsoak-")
	if err != nil {
		return nil, errors.Wrap(err, "create the directory of the run")
	}
	logFile, err := os.Create(filepath.Join(dir, "soak.log"))
	if err != nil {
		return nil, errors.Wrap(err, "create the log of the run")
	}
	h := &harness{dir: dir, binDir: o.BinDir, random: rand.New(rand.NewPCG(o.Seed, o.Seed)), checker: c,
		log:     log.New(logFile, "", log.Ltime|log.Lmicroseconds),
		servers: map[string]*server{}, restoredRecords: map[string]time.Time{},
		store: logservice.New(logservice.Options{Seed: o.Seed, Era: 1})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the store")
	}
	h.storeAddress = l.Addr().String()
	go func() { _ = h.store.Serve(l) }()
	h.operator = newOperator(h.store, c, h.log, rand.New(rand.NewPCG(o.Seed, 1)), 1+h.random.Int64N(3))
	for _, service := range services {
		for range o.ServersEach {
			if _, err := h.addServer(service, "127.0.0.1:0"); err != nil {
				return nil, err
			}
		}
	}
	h.writeHeartbeats()
	for i := range o.VMs {
		v := &vm{index: i, name: fmt.Sprintf("vm-%02d", i), ip: fmt.Sprintf("127.%d.%d.%d", 10+o.Seed%200, 1+o.Network%200, 1+i)}
		v.settingsFile, v.logFile = filepath.Join(dir, v.name+".json"), filepath.Join(dir, v.name+".log")
		if v.store, err = startProxy("127.0.0.1:0", h.storeAddress); err != nil {
			return nil, errors.Wrap(err, "start a proxy")
		}
		h.vms = append(h.vms, v)
	}
	for _, v := range h.vms {
		if err := h.writeSettings(v, 0); err != nil {
			return nil, err
		}
		if err := v.start(h.binDir); err != nil {
			return nil, err
		}
	}
	return h, nil
}

// writeSettings writes the settings of a VM. Its seeds are two VMs, the first one with the index firstSeed.
func (h *harness) writeSettings(v *vm, firstSeed int) error {
	regions := map[string]string{}
	for _, dc := range dataCentres {
		regions[dc.name] = dc.region
	}
	dataCentre := dataCentres[v.index%len(dataCentres)]
	seedAddress := func(i int) string { return h.vms[(firstSeed+i)%len(h.vms)].ip + ":1" }
	data, err := json.Marshal(map[string]any{
		"self": map[string]any{"node_name": v.name, "ip": v.ip, "zone": dataCentre.name, "region": dataCentre.region},
		"network": map[string]any{
			"listen":              map[string]string{"front": v.ip + ":" + callersPort, "ready": v.ip + ":" + healthPort},
			"internal_port_range": []int{7540, 7555}, "zones": regions, "seeds": []string{seedAddress(0), seedAddress(1)},
		},
		"platform": map[string]any{"platform": map[string]string{"address": v.store.address()}},
		"terms": map[string]any{"bounds": map[string]any{"grace_s": stopSeconds,
			"retry_budget_ratio": 0.2, "retry_budget_slack": 60}},
	})
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	// The rename replaces the file atomically, so that a VM that starts meanwhile does not read a partial file.
	if err := os.WriteFile(v.settingsFile+".new", data, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return os.Rename(v.settingsFile+".new", v.settingsFile)
}

func (v *vm) start(bin string) error {
	p, err := cluster.StartProcess(v.name, v.logFile, []string{"HORNBEAMWAY_BOOT=" + v.settingsFile},
		filepath.Join(bin, "hornbeamway"), "platform")
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.process, v.stopping = p, false
	return nil
}

func (v *vm) currentProcess() *cluster.Process {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process
}

func (v *vm) callersAddress() string { return v.ip + ":" + callersPort }

// close terminates everything that the harness started.
func (h *harness) close() {
	for _, v := range h.vms {
		if p := v.currentProcess(); p != nil && p.Running() {
			_ = p.Resume()
			p.Kill()
		}
		v.store.close()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.servers {
		s.proxy.close()
		s.Close()
	}
	_ = h.store.Close()
}
