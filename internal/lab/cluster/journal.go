package cluster

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/internal/standin/backend"
)

// Run is one run of an operation on a server.
type Run struct {
	Server string `json:"server"`
	backend.Execution
}

// Runs are the runs of all servers by Idempotency-Key.
type Runs struct {
	ByKey map[string][]Run
	// WithoutKey counts runs of requests that carried no key.
	WithoutKey int
	// Dropped counts runs that did not fit into the journals.
	Dropped int64
}

// Add adds the runs of one server.
func (r *Runs) Add(server string, j backend.Journal) {
	if r.ByKey == nil {
		r.ByKey = map[string][]Run{}
	}
	r.Dropped += j.Dropped
	for _, e := range j.Executions {
		if e.IdempotencyKey == "" {
			r.WithoutKey++
			continue
		}
		r.ByKey[e.IdempotencyKey] = append(r.ByKey[e.IdempotencyKey], Run{Server: server, Execution: e})
	}
}

// Duplicates returns the runs of the keys that ran more than once, whether or not a run was completed.
func (r *Runs) Duplicates() map[string][]Run {
	found := map[string][]Run{}
	for key, runs := range r.ByKey {
		if len(runs) > 1 {
			found[key] = runs
		}
	}
	return found
}

// Journals reads the journals of all running backend servers.
func (c *Cluster) Journals() (*Runs, error) {
	runs := &Runs{}
	for _, s := range c.Servers("") {
		if !s.Running() {
			return nil, errors.Wrapf(ErrProcess, "journal of %s is lost", s.ID)
		}
		j, err := s.Journal()
		if err != nil {
			return nil, err
		}
		runs.Add(s.ID, j)
	}
	return runs, nil
}

// Logs returns what each process has written, by name.
func (c *Cluster) Logs() (map[string][]byte, error) {
	logs := map[string][]byte{}
	for _, p := range c.processes() {
		data, err := os.ReadFile(p.LogFile)
		if err != nil {
			return nil, errors.Wrap(err, "read log")
		}
		logs[p.Name] = data
	}
	return logs, nil
}

// CopyLogs writes the logs of all processes and the settings into a directory, which is created.
func (c *Cluster) CopyLogs(dir string) error {
	return errors.Wrap(os.CopyFS(dir, os.DirFS(c.dir)), "copy logs")
}

// LogTail returns the last lines of the log of each process that ended.
func (c *Cluster) LogTail(lines int) string {
	var tail []string
	for _, p := range c.processes() {
		if p.Running() {
			continue
		}
		data, err := os.ReadFile(p.LogFile)
		if err != nil {
			continue
		}
		all := strings.Split(strings.TrimSpace(string(data)), "\n")
		tail = append(tail, filepath.Base(p.LogFile)+": "+strings.Join(all[max(0, len(all)-lines):], "\n"))
	}
	return strings.Join(tail, "\n")
}
