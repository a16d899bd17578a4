package deployer

import (
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Process is one running program.
type Process struct {
	name string
	log  string
	cmd  *exec.Cmd
	done chan struct{}
}

// startRequest asks the starter for one process.
type startRequest struct {
	cmd *exec.Cmd
	err chan error
}

// starter returns a channel to a thread that lives as long as the test binary
// and starts every process: a process with a parent death signal ends with the
// thread that started it, so that none outlives a test that is aborted.
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

// Start starts a program whose output is appended to a file.
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

// Signal sends a signal. A process that has ended ignores it.
func (p *Process) Signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Freeze stops the process until Resume.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Resume continues a frozen process.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Stop asks the process to end gracefully and returns its exit code. One that
// has not ended after the limit is killed, and the code is -1.
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
