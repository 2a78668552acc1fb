package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// ports are the same on every machine, as on the users' platform.
type ports struct{ inbound, ready, outbound, control, app, own int }

// maxFds is how many descriptors a process has.
const maxFds = 4100

// fleet is a small deployment on loopback addresses.
type fleet struct {
	program string
	folder  string
	network string
	ports   ports
	record  *record

	mutex    sync.Mutex
	machines map[string]*machine
	// seeds are the control addresses of three machines, as the operator's list has them.
	seeds []string
}

// machine is one machine with one process of the project.
type machine struct {
	fleet   *fleet
	name    string
	ip      string
	role    string
	service string
	// started counts the starts of the process.
	started int
	// boot is true only at the first start of the whole system.
	boot    bool
	command *exec.Cmd
	ended   chan struct{}
}

// newFleet finds free ports at loopback addresses of this process.
func newFleet(record *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	f := &fleet{
		program: "target/quartzdock-node", folder: folder, record: record, machines: map[string]*machine{},
		network: fmt.Sprintf("127.%d.%d", 64+pid/250%128, 1+pid%250),
	}
	const first, last, step = 21000, 29000, 16
	for base := first; base < last; base += step {
		if f.free(base) {
			f.ports = ports{base, base + 1, base + 2, base + 3, base + 4, base + 5}
			return f, nil
		}
	}
	return nil, errors.New("no free ports")
}

// free reports whether the ports of a machine from base on are free.
func (f *fleet) free(base int) bool {
	const count = 8
	for port := base; port < base+count; port++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", f.network, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// core lays out a machine of the core, and side one beside a back end.
func (f *fleet) core(number int) *machine {
	return f.add(&machine{name: fmt.Sprintf("core-%d", number), ip: fmt.Sprintf("%s.%d", f.network, number), role: "controller"})
}

func (f *fleet) side(number int, service string) *machine {
	const firstSide = 100
	return f.add(&machine{name: fmt.Sprintf("side-%d", number), ip: fmt.Sprintf("%s.%d", f.network, firstSide+number), role: "gateway", service: service})
}

func (f *fleet) add(m *machine) *machine {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	m.fleet = f
	f.machines[m.name] = m
	return m
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

func (m *machine) control() string { return m.address(m.fleet.ports.control) }

func (m *machine) outbound() string { return m.address(m.fleet.ports.outbound) }

func (m *machine) app() string { return m.address(m.fleet.ports.app) }

func (m *machine) disk() string { return filepath.Join(m.fleet.folder, m.name+"-disk") }

// settings writes the settings file with the figures of the site gkf-mesh.
func (m *machine) settings() (string, error) {
	p := &m.fleet.ports
	var b strings.Builder
	class, dataDir, app, service, cpu, memory, disk := "side", "null", "null", "null", 0.32, 284, 0
	if m.role == "controller" {
		class, dataDir, cpu, memory, disk = "core", fmt.Sprintf("%q", m.disk()), 0.24, 280, 256
	} else {
		app, service = fmt.Sprintf("%q", m.app()), fmt.Sprintf("%q", m.service)
	}
	fmt.Fprintf(&b, "grants: \"call\"\nself:\n  nodeName: %q\n  role: %q\n  machineClass: %q\n  ip: %q\n  zone: \"hall-a\"\n  region: \"se-west\"\n", m.name, m.role, class, m.ip)
	fmt.Fprintf(&b, "  countsTowardFaults: %v\n  bootstrap: %v\n  dataDir: %s\n  appAddr: %s\n  service: %s\n", class == "core", m.boot, dataDir, app, service)
	fmt.Fprintf(&b, "  limits:\n    cpuShare: %v\n    cpuCores: 1\n    memoryMb: %d\n    maxFds: %d\n    linkMbps: 1000.0\n    diskMb: %d\n", cpu, memory, maxFds, disk)
	fmt.Fprintf(&b, "network:\n  bindAddrs:\n    inbound: %q\n    outbound: %q\n    ready: %q\n    control: %q\n", m.address(p.inbound), m.outbound(), m.address(p.ready), m.control())
	fmt.Fprintf(&b, "  ephemeralPorts:\n    - %d\n    - %d\n  seedNodes:\n", p.own, p.own+2)
	for _, seed := range m.fleet.seeds {
		fmt.Fprintf(&b, "    - %q\n", seed)
	}
	b.WriteString("  zones:\n    hall-a: \"se-west\"\nplatformApi:\n  discovery: \"static\"\n  entryMode: \"static\"\n  heartbeat: \"1300ms\"\n")
	b.WriteString("terms:\n  contracts: [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"own\"]\n  faultTolerance: {machines: 1, zones: 0, regions: 0}\n  bounds:\n")
	b.WriteString("    seedLag: \"3s\"\n    addrReuse: \"2s\"\n    contact: \"3000ms\"\n    ack: \"4000ms\"\n    sync_time: \"4s\"\n    drain: \"2000ms\"\n    grace: \"6s\"\n    lossSlack: \"200ms\"\n    configApply: \"2000ms\"\n    rollbackSlack: \"250ms\"\n    stretchMax: \"5000ms\"\n")
	b.WriteString("    retryBudgetRatio: 0.2\n    budgetWindow: \"10s\"\n    budgetSlack: 58\n    recovery: \"15s\"\n    holdMax: \"10000ms\"\n    thawSlack: \"300ms\"\n")
	path := filepath.Join(m.fleet.folder, m.name+".yaml")
	return path, os.WriteFile(path, []byte(b.String()), 0o600)
}

// start starts the machine's process with the settings of this moment.
func (m *machine) start() error {
	path, err := m.settings()
	if err != nil {
		return err
	}
	if m.role == "controller" {
		if err := os.MkdirAll(m.disk(), 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(m.fleet.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	// The platform gives a process maxFds descriptors, of which 200 are kept for files.
	limited := fmt.Sprintf("ulimit -n %d && exec %s %s", maxFds, m.fleet.program, m.role)
	command := exec.Command("/bin/sh", "-c", limited)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "QUARTZDOCK_BOOT=" + path}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	ended := make(chan struct{})
	m.fleet.mutex.Lock()
	m.command, m.ended = command, ended
	m.started++
	m.boot = false
	m.fleet.mutex.Unlock()
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
	m.fleet.record.note("process of %s starts (start %d)", m.name, m.started)
	return nil
}

// signal sends a signal to the machine's process; kill waits for its end.
func (m *machine) signal(signal os.Signal) { _ = m.command.Process.Signal(signal) }

func (m *machine) kill() {
	_ = m.command.Process.Kill()
	<-m.ended
}

// stop ends all processes and removes the folder.
func (f *fleet) stop() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, m := range f.machines {
		if m.command != nil {
			m.kill()
		}
	}
	_ = os.RemoveAll(f.folder)
}

// operatorCall sends one call of the operator and follows a 307 twice.
func operatorCall(ctx context.Context, method, url, body string) (int, string) {
	client := &http.Client{Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	defer client.CloseIdleConnections()
	for range 3 {
		request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
		if err != nil {
			return 0, err.Error()
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err != nil {
			return 0, "no answer"
		}
		content, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return 0, "answer broken off"
		}
		if response.StatusCode != http.StatusTemporaryRedirect {
			return response.StatusCode, string(content)
		}
		url = response.Header.Get("Location")
	}
	return http.StatusTemporaryRedirect, ""
}

// clear reports whether a status is a clear answer to the operator.
func clear(status int) bool {
	return status == http.StatusOK || status >= 400 && status < 500 && status != 408 && status != 429
}

// operate sends a call to one controller after the other until there is a clear answer or the time
// is over. It returns the last status.
func (f *fleet) operate(ctx context.Context, cores func() []*machine, method, path, body string) (int, string) {
	pause := 50 * time.Millisecond
	last, text := 0, ""
	for ctx.Err() == nil {
		for _, core := range cores() {
			last, text = operatorCall(ctx, method, "http://"+core.control()+path, body)
			if clear(last) {
				return last, text
			}
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return last, text
}
