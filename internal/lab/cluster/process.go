package cluster

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrProcess reports a child process that could not be started or ended unexpectedly.
var ErrProcess = errors.New("child process")

// Process is one child process. It is safe for concurrent use.
type Process struct {
	// Name is the name of the process in logs and reports.
	Name string
	// LogFile holds what the process wrote to its standard output and error.
	LogFile string

	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// starter runs functions on one operating system thread that lives as long as the tool. Linux sends the parent-death
// signal when the thread that started the child ends, which for other goroutines can be long before the tool does.
var starter = sync.OnceValue(func() chan<- func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range work {
			f()
		}
	}()
	return work
})

// startProcess is StartProcess with the environment of this process.
func startProcess(name, logFile, program string, args ...string) (*Process, error) {
	return StartProcess(name, logFile, nil, program, args...)
}

// StartProcess starts a program that is killed when this process ends. Terminal signals do not reach it. env is added to the
// environment of this process. Error: ErrProcess.
func StartProcess(name, logFile string, env []string, program string, args ...string) (*Process, error) {
	out, err := os.OpenFile(logFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, errors.Mark(err, ErrProcess)
	}
	defer func() { _ = out.Close() }()
	p := &Process{Name: name, LogFile: logFile, cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	started := make(chan error, 1)
	starter() <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
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

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Wait waits for the end of the process. Errors: that of ctx, or ErrProcess for an exit code other than 0 or a signal.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "wait for the end of %s", p.Name)
	}
	if p.err != nil {
		return errors.Mark(errors.Wrap(p.err, p.Name), ErrProcess)
	}
	return nil
}

// signal sends a signal. A process that has ended gets none: its id may belong to another one.
func (p *Process) signal(s syscall.Signal) error {
	if !p.Running() {
		return errors.Wrapf(ErrProcess, "%s has ended", p.Name)
	}
	return errors.Wrapf(p.cmd.Process.Signal(s), "signal %s", p.Name)
}

// Terminate sends SIGTERM, which asks for a graceful stop.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Reload sends SIGHUP, which says that the settings have changed.
func (p *Process) Reload() error { return p.signal(syscall.SIGHUP) }

// Pause sends SIGSTOP.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume sends SIGCONT.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Kill sends SIGKILL and waits for the end.
func (p *Process) Kill() {
	if p.signal(syscall.SIGKILL) == nil {
		<-p.done
	}
}

// Memory returns the resident memory of the process and its highest value so far, in bytes.
func (p *Process) Memory() (resident, peak int64, err error) {
	status, err := os.ReadFile("/proc/" + strconv.Itoa(p.PID()) + "/status")
	if err != nil {
		return 0, 0, errors.Mark(err, ErrProcess)
	}
	return kilobytes(status, "VmRSS:"), kilobytes(status, "VmHWM:"), nil
}

// ResetPeak sets the highest value of the resident memory to the present one.
func (p *Process) ResetPeak() error {
	// Writing 5 to clear_refs resets VmHWM (proc(5)).
	return errors.Mark(os.WriteFile("/proc/"+strconv.Itoa(p.PID())+"/clear_refs", []byte("5"), 0), ErrProcess)
}

// clockTick is the unit of processor times in /proc, USER_HZ, which is 100 on all Linux platforms of Go.
const clockTick = 10 * time.Millisecond

// CPU returns the processor time that the process has used.
func (p *Process) CPU() (time.Duration, error) {
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(p.PID()) + "/stat")
	if err != nil {
		return 0, errors.Mark(err, ErrProcess)
	}
	// The name of the program in parentheses may contain spaces. User and system time are fields 14 and 15 (proc(5)).
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) < 13 {
		return 0, errors.Wrapf(ErrProcess, "stat of %s", p.Name)
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * clockTick, nil
}

// kilobytes returns a value of a /proc file that is given in kB, in bytes; 0 when it is missing.
func kilobytes(file []byte, key string) int64 {
	for line := range strings.Lines(string(file)) {
		if fields := strings.Fields(line); len(fields) >= 2 && fields[0] == key {
			n, _ := strconv.ParseInt(fields[1], 10, 64)
			return n << 10
		}
	}
	return 0
}
