package cluster

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/internal/standin/backend"
)

// Execution is one execution of an operation on a server.
type Execution struct {
	Server string `json:"server"`
	backend.Execution
}

// Executions holds the executions of all servers by idempotency key.
type Executions struct {
	ByKey map[string][]Execution
	// WithoutKey counts executions of requests without an idempotency key.
	WithoutKey int
	// Dropped counts executions that exceeded the capacity of the journals.
	Dropped int64
}

// Add adds the executions of one server.
func (r *Executions) Add(server string, j backend.Journal) {
	if r.ByKey == nil {
		r.ByKey = map[string][]Execution{}
	}
	r.Dropped += j.Dropped
	for _, e := range j.Executions {
		if e.IdempotencyKey == "" {
			r.WithoutKey++
			continue
		}
		r.ByKey[e.IdempotencyKey] = append(r.ByKey[e.IdempotencyKey], Execution{Server: server, Execution: e})
	}
}

// Duplicates returns the executions of the keys that were executed more than once, completed or not.
func (r *Executions) Duplicates() map[string][]Execution {
	duplicates := map[string][]Execution{}
	for key, executions := range r.ByKey {
		if len(executions) > 1 {
			duplicates[key] = executions
		}
	}
	return duplicates
}

// Journals reads the journals of all backend servers. Error: ErrProcess if a server has ended, because its journal is lost.
func (c *Cluster) Journals() (*Executions, error) {
	executions := &Executions{}
	for _, s := range c.Servers("") {
		if !s.Running() {
			return nil, errors.Wrapf(ErrProcess, "%s has ended and its journal is lost", s.ID)
		}
		j, err := s.Journal()
		if err != nil {
			return nil, err
		}
		executions.Add(s.ID, j)
	}
	return executions, nil
}

// Logs returns the log of each process by the name of the process.
func (c *Cluster) Logs() (map[string][]byte, error) {
	logs := map[string][]byte{}
	for _, p := range c.processes() {
		data, err := os.ReadFile(p.LogFile)
		if err != nil {
			return nil, errors.Wrap(err, "read the log of a process")
		}
		logs[p.Name] = data
	}
	return logs, nil
}

// CopyLogs copies the logs of all processes and the settings into a directory, which it creates.
func (c *Cluster) CopyLogs(dir string) error {
	return errors.Wrap(os.CopyFS(dir, os.DirFS(c.dir)), "copy logs")
}

// LogTail returns the last lines of the log of each process that has ended.
func (c *Cluster) LogTail(lines int) string {
	var tails []string
	for _, p := range c.processes() {
		if p.Running() {
			continue
		}
		data, err := os.ReadFile(p.LogFile)
		if err != nil {
			continue
		}
		allLines := strings.Split(strings.TrimSpace(string(data)), "\n")
		tails = append(tails, filepath.Base(p.LogFile)+": "+strings.Join(allLines[max(0, len(allLines)-lines):], "\n"))
	}
	return strings.Join(tails, "\n")
}
