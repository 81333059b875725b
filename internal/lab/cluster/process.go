package cluster

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrProcess reports a child process that could not be started or controlled or that ended unexpectedly.
var ErrProcess = errors.New("child process failed")

// Process is a child process. It is safe for concurrent use.
type Process struct {
	// Name identifies the process in logs and reports.
	Name string
	// LogFile is the file that receives the standard output and standard error of the process.
	LogFile string

	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// startThread returns a channel. The functions sent to it run on one operating system thread, which exists until this process
// ends: Linux sends the parent-death signal when the thread that started the child ends, and threads of other goroutines can end
// long before the process does.
var startThread = sync.OnceValue(func() chan<- func() {
	tasks := make(chan func())
	go func() {
		runtime.LockOSThread()
		for task := range tasks {
			task()
		}
	}()
	return tasks
})

// startProcess calls StartProcess with the environment of this process.
func startProcess(name, logFile, program string, args ...string) (*Process, error) {
	return StartProcess(name, logFile, nil, program, args...)
}

// StartProcess starts a program that is killed when this process ends. It runs in its own process group, so that signals of
// the terminal do not reach it. Its environment is that of this process plus env. Error: ErrProcess.
func StartProcess(name, logFile string, env []string, program string, args ...string) (*Process, error) {
	output, err := os.OpenFile(logFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, errors.Mark(err, ErrProcess)
	}
	defer func() { _ = output.Close() }()
	p := &Process{Name: name, LogFile: logFile, cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = output, output
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	startErr := make(chan error, 1)
	startThread() <- func() { startErr <- p.cmd.Start() }
	if err := <-startErr; err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "start %s", name), ErrProcess)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Running reports whether the process has not ended yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Wait waits for the end of the process. It returns the error of ctx, or ErrProcess if the process exited with a code other
// than 0 or was killed by a signal.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "wait for %s to end", p.Name)
	}
	if p.err != nil {
		return errors.Mark(errors.Wrap(p.err, p.Name), ErrProcess)
	}
	return nil
}

// signal sends a signal unless the process has ended, because its id may then belong to another process.
func (p *Process) signal(sig syscall.Signal) error {
	if !p.Running() {
		return errors.Wrapf(ErrProcess, "%s has ended", p.Name)
	}
	return errors.Wrapf(p.cmd.Process.Signal(sig), "signal %s", p.Name)
}

// Terminate sends SIGTERM, which requests a graceful stop.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Reload sends SIGHUP, which requests a reload of the settings.
func (p *Process) Reload() error { return p.signal(syscall.SIGHUP) }

// Pause sends SIGSTOP.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume sends SIGCONT.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// dumpTime is the time that a process has to write its goroutines.
const dumpTime = time.Second

// Dump describes a process that does not end: the state of each thread and the kernel function in which it waits. It also sends
// SIGQUIT, at which the process writes its goroutines to its log and exits.
func (p *Process) Dump() string {
	var text strings.Builder
	threads, _ := filepath.Glob("/proc/" + strconv.Itoa(p.PID()) + "/task/*")
	for _, thread := range threads {
		// A file that is missing belongs to a thread that has ended meanwhile.
		stat, _ := os.ReadFile(filepath.Join(thread, "stat"))
		wait, _ := os.ReadFile(filepath.Join(thread, "wchan"))
		if _, state, ok := bytes.Cut(stat, []byte(") ")); ok {
			fmt.Fprintf(&text, "%s:%c:%s ", filepath.Base(thread), state[0], wait)
		}
	}
	if p.signal(syscall.SIGQUIT) == nil {
		select {
		case <-p.done:
		case <-time.After(dumpTime):
		}
	}
	return text.String()
}

// Kill sends SIGKILL and waits for the process to end.
func (p *Process) Kill() {
	if p.signal(syscall.SIGKILL) == nil {
		<-p.done
	}
}

// Memory returns the resident memory of the process and its peak, in bytes.
func (p *Process) Memory() (resident, peak int64, err error) {
	status, err := os.ReadFile("/proc/" + strconv.Itoa(p.PID()) + "/status")
	if err != nil {
		return 0, 0, errors.Mark(err, ErrProcess)
	}
	return procBytes(status, "VmRSS:"), procBytes(status, "VmHWM:"), nil
}

// ResetPeak resets the peak of the resident memory to the current value.
func (p *Process) ResetPeak() error {
	// Writing 5 to clear_refs resets VmHWM (proc(5)).
	return errors.Mark(os.WriteFile("/proc/"+strconv.Itoa(p.PID())+"/clear_refs", []byte("5"), 0), ErrProcess)
}

// clockTick is the unit of processor times in /proc, USER_HZ, which is 100 on all Linux platforms of Go.
const clockTick = 10 * time.Millisecond

// CPU returns the user and system time that the process has used.
func (p *Process) CPU() (time.Duration, error) {
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(p.PID()) + "/stat")
	if err != nil {
		return 0, errors.Mark(err, ErrProcess)
	}
	// The program name in parentheses may contain spaces, so parsing starts after it. User and system time are fields 14 and
	// 15 (proc(5)).
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) < 13 {
		return 0, errors.Wrapf(ErrProcess, "/proc stat file of %s has too few fields", p.Name)
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * clockTick, nil
}

// procBytes returns the value of a key that a /proc file states in kB, converted to bytes, or 0 if the key is missing.
func procBytes(data []byte, key string) int64 {
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) >= 2 && fields[0] == key {
			n, _ := strconv.ParseInt(fields[1], 10, 64)
			return n << 10
		}
	}
	return 0
}
