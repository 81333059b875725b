package soak

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/internal/standin/platformserver"
)

// server is a backend server behind a proxy.
type server struct {
	*platformserver.Server
	proxy         *proxy
	born          int64 // start time by the clock of the server, in Unix milliseconds
	seq           int   // sequence number of the last store record
	state         string
	dataCentre    string
	reserved      bool // whether a fault that ends it has begun
	stopped       bool // whether it was terminated and writes no more heartbeats
	restarting    bool // whether it was terminated and starts again
	lastHeartbeat time.Time
}

// addServer starts a backend server, and on the given address a proxy in front of it. Its store record follows with the next
// heartbeats, so that VMs that know an earlier server of that address send it requests meanwhile.
func (h *harness) addServer(service, address string) (*server, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nextID++
	id := serverID(h.nextID)
	s, err := platformserver.StartObserved(id, service, "127.0.0.1:0", serviceTime, h.checker)
	if err != nil {
		return nil, errors.Wrap(err, "start a backend server")
	}
	p, err := startProxy(address, s.Address())
	if err != nil {
		s.Close()
		return nil, errors.Wrap(err, "start a proxy")
	}
	// Simulates clock skew between the servers: offsets from -2 to 2 s.
	born := time.Now().Add(time.Duration(h.nextID%5-2) * time.Second).UnixMilli()
	added := &server{Server: s, proxy: p, born: born, state: "ready", dataCentre: dataCentres[h.nextID%len(dataCentres)].name}
	h.servers[id] = added
	return added, nil
}

// startAgain starts a terminated server again, with the same id and proxy address, without what the earlier start held. As with
// addServer, its store record follows.
func (h *harness) startAgain(s *server, born time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	started, err := platformserver.StartObserved(s.ID, s.Service, "127.0.0.1:0", serviceTime, h.checker)
	if err != nil {
		return errors.Wrap(err, "start a backend server again")
	}
	s.proxy.setTarget(started.Address())
	h.servers[s.ID] = &server{Server: started, proxy: s.proxy, born: born.UnixMilli(), state: "ready", dataCentre: s.dataCentre}
	return nil
}

func serverID(number int) string { return fmt.Sprintf("i-%03d", number) }

// writeServerRecord writes the record of a server to the store, which also counts as its heartbeat. mu must be held.
func (h *harness) writeServerRecord(s *server) {
	s.seq++
	s.lastHeartbeat = time.Now()
	data, _ := json.Marshal(map[string]any{"service": s.Service, "address": s.proxy.address(), "zone": s.dataCentre, "version": "v1",
		"slots": 3, "state": s.state, "warmup_left_ms": 0, "seq": s.seq, "born": s.born})
	h.store.Put(topicServers, s.ID, data)
}

// serversTopicDown reports whether the store refuses the records of servers.
func (h *harness) serversTopicDown() bool {
	f := h.store.Faults()
	return f.Down && f.Topic != topicConfig
}

// writeHeartbeats writes the servers' heartbeats that are due. It writes none while the store is down.
func (h *harness) writeHeartbeats() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.serversTopicDown() {
		return
	}
	for _, s := range h.servers {
		if !s.stopped && time.Since(s.lastHeartbeat) >= heartbeatInterval {
			h.writeServerRecord(s)
		}
	}
}

// pickServer returns a server that is not reserved, of a service that has at least three of them, or nil if there is none.
func (h *harness) pickServer(draw int) *server {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pickServerLocked(draw)
}

// reserveServer is like pickServer, and reserves the server for a fault that ends it.
func (h *harness) reserveServer(draw int) *server {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.pickServerLocked(draw)
	if s != nil {
		s.reserved = true
	}
	return s
}

// pickServerLocked is pickServer. mu must be held.
func (h *harness) pickServerLocked(draw int) *server {
	availableCount := map[string]int{}
	for _, s := range h.servers {
		if !s.reserved {
			availableCount[s.Service]++
		}
	}
	for i := range h.nextID {
		s := h.servers[serverID(1+(draw+i)%h.nextID)]
		if s != nil && !s.reserved && availableCount[s.Service] > 2 {
			return s
		}
	}
	return nil
}

// setServiceFaults replaces the active faults of all servers of a service.
func (h *harness) setServiceFaults(service string, f platformserver.Faults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.servers {
		if s.Service == service {
			s.SetFaults(f)
		}
	}
}

// stopServer terminates a server. Its store record remains until it expires.
func (h *harness) stopServer(s *server) {
	s.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	s.stopped = true
}

// replaceServer terminates a server and starts a new one of the same service.
func (h *harness) replaceServer(s *server) {
	h.stopServer(s)
	h.startReplacement(s)
}

// startReplacement starts a server of the same service as s.
func (h *harness) startReplacement(s *server) {
	if _, err := h.addServer(s.Service, "127.0.0.1:0"); err != nil {
		h.checker.addViolation("failed to replace server %s: %v", s.ID, err)
	}
}

// expireServers removes the store records of stopped servers whose last heartbeat is older than recordTTL.
func (h *harness) expireServers() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.serversTopicDown() {
		return
	}
	for id, s := range h.servers {
		if s.stopped && !s.restarting && time.Since(s.lastHeartbeat) > recordTTL {
			h.removeServerRecord(id)
			s.proxy.close()
			delete(h.servers, id)
		}
	}
	h.expireRestoredRecords()
}
