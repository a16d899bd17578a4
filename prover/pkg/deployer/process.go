package deployer

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Process is a program that Start has started.
type Process struct {
	name string
	log  string
	cmd  *exec.Cmd
	done chan struct{}
}

// startRequest asks the starter thread to start one process.
type startRequest struct {
	cmd *exec.Cmd
	err chan error
}

// starter returns the channel to a thread that starts every process and lives
// as long as the test binary. Linux sends the parent death signal when the
// thread that started the process ends, not the whole parent process; with this
// thread the processes end with an aborted test binary and not before.
var starter = sync.OnceValue(func() chan<- startRequest {
	requests := make(chan startRequest)
	go func() {
		runtime.LockOSThread()
		for r := range requests {
			r.err <- r.cmd.Start()
		}
	}()
	return requests
})

// Start starts a program and appends its output to the file log. The process is
// killed if the test binary ends.
func Start(name, log, program string, args ...string) (*Process, error) {
	file, err := os.OpenFile(log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, eris.Wrapf(err, "start %s", name)
	}
	defer func() { _ = file.Close() }()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = file, file
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r := startRequest{
		cmd: cmd,
		err: make(chan error),
	}
	starter() <- r
	if err := <-r.err; err != nil {
		return nil, eris.Wrapf(err, "start %s", name)
	}
	p := &Process{
		name: name,
		log:  log,
		cmd:  cmd,
		done: make(chan struct{}),
	}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// ID returns the id of the process.
func (p *Process) ID() int { return p.cmd.Process.Pid }

// PeakMemory returns the most memory that the process has had resident, in bytes.
func (p *Process) PeakMemory() (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.ID()))
	if err != nil {
		return 0, eris.Wrapf(err, "read the memory of %s", p.name)
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kb << 10, eris.Wrapf(err, "read the memory of %s", p.name)
		}
	}
	return 0, eris.Errorf("read the memory of %s: no peak in the status of the process", p.name)
}

// Signal sends a signal. It does nothing if the process has ended.
func (p *Process) Signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Freeze stops the process with SIGSTOP until Resume.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Resume continues a frozen process with SIGCONT.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Stop sends SIGTERM, waits until the process has ended and returns its exit
// code. A process that has not ended after the limit is killed; the code is
// then -1.
func (p *Process) Stop(limit time.Duration) int {
	p.Signal(syscall.SIGTERM)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-timer.C:
		p.Kill()
		return -1
	}
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}
