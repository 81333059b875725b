//go:build review

// Package kit holds the parts that the review's scripts share: the store, entry VMs as processes, backend servers and clients. The
// store is the project's own stand-in; backend servers and clients are small ones that follow the users' pages.
package kit

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/hornbeamway/hornbeamway/internal/standin/logservice"
)

// The entry VMs are killed when the thread that started them ends, which therefore has to be the main one.
func init() { runtime.LockOSThread() }

// Exit codes of a script.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitFailed = 2
)

// Heartbeat is the interval at which backend servers write their entries.
const Heartbeat = 1500 * time.Millisecond

// Zones maps the zones of the deployment to their regions.
var Zones = map[string]string{"dakar-plateau": "dakar", "dakar-rufisque": "dakar", "tamba-nord": "tamba", "tamba-kedougou": "tamba"}

// ZoneNames lists the zones in a fixed order.
var ZoneNames = []string{"dakar-plateau", "tamba-nord", "dakar-rufisque", "tamba-kedougou"}

// Trouble reports whether the script plays the disruption (TROUBLE=0 leaves it out).
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record writes record.txt with the time since the start of the script.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates record.txt in a folder.
func NewRecord(folder string) (*Record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	return &Record{file: f, started: time.Now()}, err
}

// Printf writes one line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

// Route is one route of the manifest.
type Route struct {
	Name, Prefix, Kind, Service                string
	TimeoutMs, TargetMs, Priority, MaxAttempts int
}

// System is one deployment on loopback addresses.
type System struct {
	Record  *Record
	Bounds  map[string]any
	Store   *logservice.Service
	address string
	dir     string
	mu      sync.Mutex
	vms     []*VM
	servers []*Backend
	version int
	stop    chan struct{}
}

// Host is the host of all routes.
const Host = "jepu9.example"

// NewSystem starts the store.
func NewSystem(r *Record, bounds map[string]any) (*System, error) {
	dir, err := os.MkdirTemp("", "hornbeamreview-")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &System{Record: r, Bounds: bounds, Store: logservice.New(logservice.Options{Seed: 1}), address: l.Addr().String(), dir: dir,
		stop: make(chan struct{})}
	go func() { _ = s.Store.Serve(l) }()
	go s.heartbeats()
	return s, nil
}

// Close kills all processes that the script started and removes the temporary folder.
func (s *System) Close() {
	close(s.stop)
	for _, v := range s.vms {
		v.Kill()
	}
	for _, b := range s.servers {
		b.Close()
	}
	_ = os.RemoveAll(s.dir)
}

// Publish writes the next manifest.
func (s *System) Publish(routes []Route, maxConns int, services ...string) {
	var items []map[string]any
	for _, r := range routes {
		items = append(items, map[string]any{"type": "routes", "metadata": map[string]any{"name": r.Name}, "spec": map[string]any{
			"host": Host, "path_prefix": r.Prefix, "kind": r.Kind, "timeout_ms": r.TimeoutMs, "target_latency_ms": r.TargetMs,
			"priority": r.Priority, "service": r.Service, "max_attempts": r.MaxAttempts}})
	}
	for _, name := range services {
		items = append(items, map[string]any{"type": "services", "metadata": map[string]any{"name": name}, "spec": map[string]any{
			"health_path": "/healthz", "max_conns": maxConns, "protocol": "h1", "tls": false}})
	}
	items = append(items, map[string]any{"type": "limits", "metadata": map[string]any{}, "spec": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	s.version++
	data, _ := json.Marshal(map[string]any{"version": "r" + strconv.Itoa(s.version), "resources": items})
	s.Store.Put("keyed.op", "config", data)
	s.Record.Printf("operator: manifest r%d acknowledged", s.version)
}

// AddBackend starts a backend server and registers it.
func (s *System) AddBackend(b *Backend) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.system = s
	b.ID = fmt.Sprintf("i-%04d", len(s.servers)+1)
	b.born, b.state = time.Now().UnixMilli(), "ready"
	if err := b.listen(); err != nil {
		return err
	}
	s.servers = append(s.servers, b)
	s.writeEntry(b)
	return nil
}

func (s *System) writeEntry(b *Backend) {
	b.seq++
	data, _ := json.Marshal(map[string]any{"service": b.Service, "address": b.Address, "zone": b.Zone, "version": "v1", "slots": b.Slots,
		"state": b.state, "warmup_left_ms": 0, "seq": b.seq, "born": b.born})
	s.Store.Put("keyed.servers", b.ID, data)
}

func (s *System) heartbeats() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(Heartbeat):
		}
		s.mu.Lock()
		for _, b := range s.servers {
			if !b.down {
				s.writeEntry(b)
			}
		}
		s.mu.Unlock()
	}
}

// Crash ends a backend server without a word.
func (s *System) Crash(b *Backend) {
	s.mu.Lock()
	b.down = true
	s.mu.Unlock()
	b.Close()
}

// Restart starts a backend server again under its id and at its address. born is the time of its start by the clock of its machine.
func (s *System) Restart(b *Backend, born time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.born, b.seq, b.down = born.UnixMilli(), 0, false
	if err := b.listenAt(b.Address); err != nil {
		return err
	}
	s.writeEntry(b)
	return nil
}

// Drain writes that a backend server is draining, and returns the time of the store's ack.
func (s *System) Drain(b *Backend) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.state = "draining"
	s.writeEntry(b)
	return time.Now()
}

// Remove ends a backend server that has drained, and removes its entry.
func (s *System) Remove(b *Backend) {
	s.Crash(b)
	s.Store.Put("keyed.servers", b.ID, nil)
}

// VM is an entry VM: one process of the deploy file's role.
type VM struct {
	Name, Zone, Front, Ready string
	cmd                      *exec.Cmd
	done                     chan struct{}
}

// AddVMs starts n entry VMs, spread over the zones.
func (s *System) AddVMs(n int) error {
	port, err := freePort()
	if err != nil {
		return err
	}
	base := os.Getpid() % 200
	ip := func(i int) string { return fmt.Sprintf("127.%d.%d.%d", 20+base, 1+os.Getpid()/200%200, 1+i) }
	var seeds []string
	for i := range min(3, n) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip(i), port+2))
	}
	for i := range n {
		if err := s.startVM(i, ip(i), port, seeds, n); err != nil {
			return err
		}
	}
	for _, v := range s.vms {
		if err := v.awaitReady(); err != nil {
			return err
		}
	}
	s.Record.Printf("all %d entry VMs report ready", n)
	return nil
}

func (s *System) startVM(i int, ip string, port int, seeds []string, n int) error {
	zone := ZoneNames[i%len(ZoneNames)]
	v := &VM{Name: fmt.Sprintf("edge-%s-%d", zone, 1+i/len(ZoneNames)), Zone: zone, Front: fmt.Sprintf("%s:%d", ip, port),
		Ready: fmt.Sprintf("%s:%d", ip, port+1), done: make(chan struct{})}
	settings := map[string]any{
		"self": map[string]any{"node_name": v.Name, "role": "entry", "machine_class": "edge", "serves": []string{"edge", "control"}, "ip": ip,
			"zone": zone, "region": Zones[zone], "counts_as_loss": false, "bootstrap": true, "data_dir": nil,
			"limits": map[string]any{"cpu_share": 0.32, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}},
		"network": map[string]any{"listen": map[string]any{"front": v.Front, "ready": v.Ready, "control": fmt.Sprintf("%s:%d", ip, port+2)},
			"internal_port_range": []int{port + 3, port + 18}, "seeds": seeds, "zones": Zones},
		"platform": map[string]any{"discovery": "platform", "entry": "vip", "heartbeat_ms": Heartbeat.Milliseconds(),
			"platform": map[string]any{"address": s.address, "form": "log", "writes_per_s": 400, "reads_per_s": 2000, "parts": 8,
				"append_ms": 4.0, "part_mb_s": 20.0, "read_mb_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152, "keep_s": 300,
				"part_mb": 200, "ttl_min_ms": 1000}},
		"terms": map[string]any{"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "health", "platform"},
			"fault_tolerance": map[string]any{"machines": 2, "zones": 0, "regions": 0}, "bounds": s.Bounds},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(s.dir, v.Name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(s.dir, v.Name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	v.cmd = exec.Command("target/hornbeamway", "platform")
	v.cmd.Stdout, v.cmd.Stderr = output, output
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HORNBEAMWAY_BOOT=" + path}
	if err := v.cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = v.cmd.Wait()
		close(v.done)
	}()
	s.vms = append(s.vms, v)
	return nil
}

// VMs returns the entry VMs.
func (s *System) VMs() []*VM { return s.vms }

// Log returns the path of a VM's log.
func (s *System) Log(v *VM) string { return filepath.Join(s.dir, v.Name+".log") }

// Terminate sends SIGTERM.
func (v *VM) Terminate() { _ = v.cmd.Process.Signal(syscall.SIGTERM) }

// Kill sends SIGKILL and waits for the end of the process.
func (v *VM) Kill() {
	_ = v.cmd.Process.Kill()
	<-v.done
}

// Done is closed when the process has ended.
func (v *VM) Done() <-chan struct{} { return v.done }

// IsReady asks the VM's ready address once, as the platform does.
func (v *VM) IsReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + v.Ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (v *VM) awaitReady() error {
	for range 100 {
		if v.IsReady() {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s did not become ready", v.Name)
}

// freePort returns the first of some consecutive ports below the range that the system assigns itself, so that no other socket
// takes one of them.
func freePort() (int, error) {
	for port := 9000 + os.Getpid()%500*32; port < 30000; port += 32 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return port, l.Close()
		}
	}
	return 0, fmt.Errorf("no free port")
}
