package hollow

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/quartzdock/quartzdock/internal/transport"
)

// stopLimit is how long a process may take to end before it is killed.
const stopLimit = 10 * time.Second

// process is one child of the tool.
type process struct {
	name    string
	command *exec.Cmd
	log     *os.File
	ended   chan struct{}
}

// startProcess starts a program whose output goes to a file of the folder.
func startProcess(folder, name, program string, arguments ...string) (*process, error) {
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	command := exec.Command(program, arguments...)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &process{name: name, command: command, log: log, ended: make(chan struct{})}
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	return p, nil
}

func (p *process) pid() int { return p.command.Process.Pid }

func (p *process) usage() (Usage, error) { return UsageOf(p.pid()) }

// stop asks the process to end, and kills it when it does not.
func (p *process) stop() {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(stopLimit):
		_ = p.command.Process.Kill()
		<-p.ended
	}
}

// controllerProcess is one replica of the group.
type controllerProcess struct {
	*process
	session, rpc, ops string
}

// controllerPorts reserves loopback addresses by listening for a moment.
func controllerPorts(count int) ([]string, error) {
	var addresses []string
	var listeners []net.Listener
	defer func() {
		for _, listener := range listeners {
			_ = listener.Close()
		}
	}()
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// startControllers starts the replicas of one new group.
func startControllers(folder, program string, count int) ([]*controllerProcess, error) {
	const portsEach = 4
	ports, err := controllerPorts(portsEach * count)
	if err != nil {
		return nil, err
	}
	var peers []string
	for i := range count {
		peers = append(peers, fmt.Sprintf("%d=%s", i+1, ports[portsEach*i]))
	}
	var started []*controllerProcess
	for i := range count {
		own := ports[portsEach*i : portsEach*(i+1)]
		name := fmt.Sprintf("controller-%d", i+1)
		location := locationOf(i)
		p, err := startProcess(folder, name, program, "controller",
			"--name", name,
			"--replica-id", fmt.Sprint(i+1),
			"--peers", strings.Join(peers, ","),
			"--data-folder", filepath.Join(folder, name),
			"--location.region", string(location.Region),
			"--location.zone", string(location.Zone),
			"--peer.listen", own[0],
			"--session.listen", own[1],
			"--rpc.listen", own[2],
			"--ops.listen", own[3],
		)
		if err != nil {
			return started, err
		}
		started = append(started, &controllerProcess{process: p, session: own[1], rpc: own[2], ops: own[3]})
	}
	return started, nil
}

// workerProcess is a worker and the connection over which it takes orders.
type workerProcess struct {
	*process
	conn *transport.Conn
}

// startWorker starts this program again as a worker.
func startWorker(ctx context.Context, folder, name string) (*workerProcess, error) {
	listener, err := transport.Listen("127.0.0.1:0", transport.Options{IdleTimeout: -1, WriteTimeout: -1})
	if err != nil {
		return nil, err
	}
	defer listener.Close()
	defer context.AfterFunc(ctx, func() { _ = listener.Close() })()
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p, err := startProcess(folder, name, self, "fleet", "--hollow", "--worker", listener.Address())
	if err != nil {
		return nil, err
	}
	go func() {
		<-p.ended
		_ = listener.Close()
	}()
	conn, err := listener.Accept()
	if err != nil {
		p.stop()
		return nil, fmt.Errorf("worker %s did not connect; see %s: %w", name, p.log.Name(), err)
	}
	return &workerProcess{process: p, conn: conn}, nil
}

// ask sends an order and waits for its reply.
func (w *workerProcess) ask(next order) (reply, error) {
	if err := w.conn.Send(next); err != nil {
		return reply{}, fmt.Errorf("%s: %w", w.name, err)
	}
	var answer reply
	if err := w.conn.Receive(&answer); err != nil {
		return reply{}, fmt.Errorf("%s: %w", w.name, err)
	}
	if answer.Error != "" {
		return reply{}, fmt.Errorf("%s: %s", w.name, answer.Error)
	}
	return answer, nil
}

func (w *workerProcess) stop() {
	_ = w.conn.Close()
	w.process.stop()
}
