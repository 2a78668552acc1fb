package hollow

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"time"

	"github.com/quartzdock/quartzdock/internal/transport"
	"github.com/quartzdock/quartzdock/lab/fleet"
)

const (
	// connectLimit is how long a worker may take to connect.
	connectLimit = 10 * time.Second
	// logLines are shown of a process that failed.
	logLines = 20
)

// start starts a program whose output goes to a file of the folder.
func start(folder, name, program string, arguments ...string) (*fleet.Process, error) {
	p := fleet.NewProcess(name, filepath.Join(folder, name+".log"), program, arguments...)
	return p, p.Start()
}

// controllerProcess is one replica of the group.
type controllerProcess struct {
	*fleet.Process
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
		p, err := start(folder, name, program, "controller",
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
			"--ops.pprof",
		)
		if err != nil {
			return started, err
		}
		started = append(started, &controllerProcess{Process: p, session: own[1], rpc: own[2], ops: own[3]})
	}
	return started, nil
}

// workerProcess is a worker and the connection over which it takes orders.
type workerProcess struct {
	*fleet.Process
	conn *transport.Conn
}

// startWorker starts quartzdock-lab as a worker.
func startWorker(ctx context.Context, folder, name, program string) (*workerProcess, error) {
	listener, err := transport.Listen("127.0.0.1:0", transport.Options{IdleTimeout: -1, WriteTimeout: -1})
	if err != nil {
		return nil, err
	}
	defer listener.Close()
	defer context.AfterFunc(ctx, func() { _ = listener.Close() })()
	p, err := start(folder, name, program, "fleet", "--hollow", "--worker", listener.Address())
	if err != nil {
		return nil, err
	}
	giveUp := time.AfterFunc(connectLimit, func() { _ = listener.Close() })
	defer giveUp.Stop()
	conn, err := listener.Accept()
	if err != nil {
		p.Stop()
		return nil, fmt.Errorf("worker %s did not connect: %w\n%s", name, err, p.LastLines(logLines))
	}
	return &workerProcess{Process: p, conn: conn}, nil
}

// ask sends an order and waits for its reply.
func (w *workerProcess) ask(next order) (reply, error) {
	if err := w.conn.Send(next); err != nil {
		return reply{}, fmt.Errorf("%s: %w", w.Name, err)
	}
	var answer reply
	if err := w.conn.Receive(&answer); err != nil {
		return reply{}, fmt.Errorf("%s: %w", w.Name, err)
	}
	if answer.Error != "" {
		return reply{}, fmt.Errorf("%s: %s", w.Name, answer.Error)
	}
	return answer, nil
}

func (w *workerProcess) stop() {
	_ = w.conn.Close()
	w.Process.Stop()
}
