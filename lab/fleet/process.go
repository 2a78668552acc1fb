package fleet

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/quartzdock/quartzdock/lab/childprocess"
)

// Process is one process of a fleet. It can be ended, frozen and started
// again with the same settings.
type Process struct {
	// Name of the process, unique in the fleet.
	Name string
	// Log is the path of the file that holds its output, over all starts.
	Log string

	binary    string
	arguments []string

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	status  error
}

// Start starts the process. It must not be running.
func (p *Process) Start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("log of %s: %w", p.Name, err)
	}
	defer log.Close()
	command := exec.Command(p.binary, p.arguments...)
	command.Stdout, command.Stderr = log, log
	if err := childprocess.Start(command); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.command = command
	p.ended = make(chan struct{})
	go p.await(command, p.ended)
	return nil
}

func (p *Process) await(command *exec.Cmd, ended chan struct{}) {
	status := command.Wait()
	p.mutex.Lock()
	p.status = status
	p.mutex.Unlock()
	close(ended)
}

// Running says whether the process was started and has not ended.
func (p *Process) Running() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// ID returns the process id, zero where the process does not run.
func (p *Process) ID() int {
	if !p.Running() {
		return 0
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.command.Process.Pid
}

// Kill ends the process at once (SIGKILL) and returns when it has ended.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.endedChannel()
	return nil
}

// Terminate asks for a planned stop (SIGTERM).
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Freeze stops the process as if its machine hung (SIGSTOP).
func (p *Process) Freeze() error { return p.signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on (SIGCONT).
func (p *Process) Thaw() error { return p.signal(syscall.SIGCONT) }

// errNotRunning means that a process has no process id to signal.
var errNotRunning = errors.New("process is not running")

func (p *Process) signal(signal syscall.Signal) error {
	if !p.Running() {
		return fmt.Errorf("%s: %w", p.Name, errNotRunning)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err := p.command.Process.Signal(signal); err != nil {
		return fmt.Errorf("signal %s: %w", p.Name, err)
	}
	return nil
}

func (p *Process) endedChannel() <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.ended
}

// ErrStillRunning means that a process did not end in time.
var ErrStillRunning = errors.New("process still runs")

// WaitEnd waits until the process has ended and returns its exit status; a
// status other than zero is an error.
func (p *Process) WaitEnd(timeout time.Duration) error {
	select {
	case <-p.endedChannel():
	case <-time.After(timeout):
		return fmt.Errorf("%s after %s: %w", p.Name, timeout, ErrStillRunning)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.status != nil {
		return fmt.Errorf("%s: %w", p.Name, p.status)
	}
	return nil
}

// LastLines returns the end of the process's log.
func (p *Process) LastLines(count int) string {
	text, err := os.ReadFile(p.Log)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimRight(string(text), "\n"), "\n")
	return strings.Join(lines[max(0, len(lines)-count):], "\n")
}
