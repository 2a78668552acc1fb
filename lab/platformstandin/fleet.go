package platformstandin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/quartzdock/quartzdock/lab/childprocess"
	"github.com/quartzdock/quartzdock/lab/pause"
)

// Ports that every machine has alike.
type Ports struct{ Inbound, Outbound, Ready, Control, App, Own int }

// Machine is one machine with a process of the product.
type Machine struct {
	Name string
	IP   string
	Role string
	// Service of the back end beside a gateway.
	Service string

	fleet   *Fleet
	command *exec.Cmd
	ended   chan struct{}
	started int

	// client is that of the machine's callers, who make no new connections to it
	// once they have left.
	client *http.Client
	// beside is that of the back end beside the machine.
	beside *http.Client
	left   atomic.Bool
}

// Fleet is a set of machines on loopback addresses.
type Fleet struct {
	Program string
	Folder  string
	Ports   Ports
	Cores   []*Machine
	Sides   []*Machine
	Ledger  *Ledger
	// Timeline is what was done to the machines.
	Timeline *Timeline

	usage *usage
	// coresMutex guards Cores where core machines are replaced while the fleet runs.
	coresMutex sync.Mutex
	// coresMade is how many core machines there have been.
	coresMade int
}

const (
	// MemoryLimit is the memory of a process in bytes, as the settings files name it.
	MemoryLimit = memoryMB << 20
	memoryMB    = 280
	// successorAfter is the time from the end of a core machine until its successor starts, and
	// CountsAgain from then until another machine may be lost.
	successorAfter = 2 * time.Second
	CountsAgain    = 4 * time.Second
)

// portCount is how many ports a machine needs.
const portCount = 8

// freePorts returns ports that are free at this process's addresses now.
func freePorts() (Ports, error) {
	const first, last, step = 21000, 29000, 16
	for base := first; base < last; base += step {
		if free(base) {
			return Ports{base, base + 1, base + 2, base + 3, base + 4, base + 5}, nil
		}
	}
	return Ports{}, errors.New("no free ports")
}

// free looks at the first address of each kind: machines of one fleet use the
// same ports.
func free(base int) bool {
	for _, host := range []int{firstCore, firstSide} {
		for port := base; port < base+portCount; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", hostIP(host), port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// NewFleet lays out machines: cores, and a gateway for each service named.
func NewFleet(program, folder string, cores int, services []string) (*Fleet, error) {
	if cores > mostCores || len(services) > mostSides {
		return nil, fmt.Errorf("there are addresses for %d controllers and %d gateways, not for %d and %d", mostCores, mostSides, cores, len(services))
	}
	ports, err := freePorts()
	if err != nil {
		return nil, err
	}
	fleet := &Fleet{Program: program, Folder: folder, Ports: ports, Ledger: NewLedger(), Timeline: NewTimeline(), usage: newUsage()}
	for range cores {
		fleet.Cores = append(fleet.Cores, fleet.newCore())
	}
	for i, service := range services {
		fleet.Sides = append(fleet.Sides, &Machine{
			Name: fmt.Sprintf("side-%d", i+1), IP: hostIP(firstSide + i), Role: "gateway", Service: service, fleet: fleet,
		})
		fleet.Sides[i].openToCallers()
	}
	return fleet, nil
}

// newCore lays out a core machine at an address of its own.
func (f *Fleet) newCore() *Machine {
	f.coresMade++
	return &Machine{Name: fmt.Sprintf("core-%d", f.coresMade), IP: hostIP(firstCore + f.coresMade - 1), Role: "controller", fleet: f}
}

// presentCores returns the core machines that the fleet has now.
func (f *Fleet) presentCores() []*Machine {
	f.coresMutex.Lock()
	defer f.coresMutex.Unlock()
	return slices.Clone(f.Cores)
}

// removeCore takes a core machine away for good, with SIGTERM where that is planned. The fleet has no
// machine in its place until addCore.
func (f *Fleet) removeCore(ctx context.Context, removed *Machine, planned bool) {
	f.coresMutex.Lock()
	f.Cores = slices.DeleteFunc(slices.Clone(f.Cores), func(core *Machine) bool { return core == removed })
	f.coresMutex.Unlock()
	if planned {
		removed.StopPlanned(ctx, Grace)
		return
	}
	removed.Signal(syscall.SIGKILL)
}

// addCore starts a core machine with a new address and an empty disk.
func (f *Fleet) addCore() (*Machine, error) {
	f.coresMutex.Lock()
	if f.coresMade == mostCores {
		f.coresMutex.Unlock()
		return nil, fmt.Errorf("there are addresses for %d controllers", mostCores)
	}
	added := f.newCore()
	added.started = 1 // only the first start of the whole system is a bootstrap
	f.Cores = append(slices.Clone(f.Cores), added)
	f.coresMutex.Unlock()
	return added, added.Start()
}

// ReplaceCore takes a core machine away for good and starts its successor, which it returns.
func (f *Fleet) ReplaceCore(ctx context.Context, removed *Machine, planned bool) (*Machine, error) {
	f.removeCore(ctx, removed, planned)
	_ = pause.For(ctx, successorAfter)
	return f.addCore()
}

func (m *Machine) address(port int) string { return fmt.Sprintf("%s:%d", m.IP, port) }

// Control is the machine's address for operators or its back end.
func (m *Machine) Control() string { return m.address(m.fleet.Ports.Control) }

// Outbound takes the machine's callers.
func (m *Machine) Outbound() string { return m.address(m.fleet.Ports.Outbound) }

// App is where the back end beside a gateway serves.
func (m *Machine) App() string { return m.address(m.fleet.Ports.App) }

// settings writes the machine's settings file and returns its path.
func (m *Machine) settings() (string, error) {
	ports := &m.fleet.Ports
	var seeds []string
	cores := m.fleet.presentCores()
	for _, core := range cores[:min(3, len(cores))] {
		seeds = append(seeds, fmt.Sprintf("    - %q\n", core.Control()))
	}
	self := fmt.Sprintf("self:\n  nodeName: %q\n  ip: %q\n  zone: \"z\"\n  bootstrap: %v\n  limits:\n    memoryMb: %d\n  futureField: 1\n",
		m.Name, m.IP, m.started == 0, memoryMB)
	if m.Role == "controller" {
		self += fmt.Sprintf("  dataDir: %q\n", m.DataDir())
	} else {
		self += fmt.Sprintf("  appAddr: %q\n  service: %q\n", m.App(), m.Service)
	}
	network := fmt.Sprintf("network:\n  bindAddrs:\n    inbound: %q\n    outbound: %q\n    ready: %q\n    control: %q\n  ephemeralPorts:\n    - %d\n    - %d\n  zones:\n    z: r\n  seedNodes:\n%s",
		m.address(ports.Inbound), m.Outbound(), m.address(ports.Ready), m.Control(), ports.Own, ports.Own+1, strings.Join(seeds, ""))
	terms := "terms:\n  bounds:\n    drain: \"2000ms\"\n    grace: \"" + Grace.String() + "\"\n    retryBudgetRatio: 0.2\n    budgetWindow: \"10s\"\n    budgetSlack: 58\n    holdMax: \"10000ms\"\n"
	path := filepath.Join(m.fleet.Folder, m.Name+".yaml")
	return path, os.WriteFile(path, []byte(self+network+terms), 0o600)
}

// DataDir is the disk of a core machine.
func (m *Machine) DataDir() string { return filepath.Join(m.fleet.Folder, m.Name+"-disk") }

// Start starts the machine's process.
func (m *Machine) Start() error {
	path, err := m.settings()
	if err != nil {
		return err
	}
	m.started++
	m.fleet.Ledger.excuse(m.Name)
	command := exec.Command(m.fleet.Program, m.Role)
	command.Env = append(os.Environ(), "QUARTZDOCK_BOOT="+path)
	log, err := os.OpenFile(filepath.Join(m.fleet.Folder, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command.Stdout, command.Stderr = log, log
	if err := childprocess.Start(command); err != nil {
		return errors.Join(err, log.Close())
	}
	ended := make(chan struct{})
	m.command, m.ended = command, ended
	m.fleet.usage.begins(m.Name, command.Process.Pid)
	m.fleet.Timeline.faultsEnd(m.Name, time.Now())
	go func() {
		_ = command.Wait()
		m.fleet.usage.ends(command)
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// Stop ends all processes.
func (f *Fleet) Stop() {
	for _, machine := range append(append([]*Machine{}, f.Sides...), f.presentCores()...) {
		if machine.command != nil {
			machine.kill()
		}
	}
}

// Operate sends a change to the controllers in turn until one gives a clear
// answer, as an operator does.
func (f *Fleet) Operate(ctx context.Context, path, body string) (int, error) {
	for ctx.Err() == nil {
		for _, core := range f.presentCores() {
			attempt, cancel := context.WithTimeout(ctx, time.Second)
			status, err := post(attempt, "http://"+core.Control()+path, body)
			cancel()
			if err == nil && status < http.StatusInternalServerError {
				return status, nil
			}
		}
	}
	return 0, ctx.Err()
}

// Configuration reads the newest configuration from a controller.
func (f *Fleet) Configuration(ctx context.Context) (string, error) {
	for ctx.Err() == nil {
		for _, core := range f.presentCores() {
			response, err := http.Get("http://" + core.Control() + "/config/get")
			if err != nil {
				continue
			}
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if err == nil && response.StatusCode == http.StatusOK {
				return string(body), nil
			}
		}
	}
	return "", ctx.Err()
}

// Log returns the last lines of a machine's log.
func (m *Machine) Log() string {
	content, _ := os.ReadFile(filepath.Join(m.fleet.Folder, m.Name+".log"))
	const most = 4000
	if len(content) > most {
		content = content[len(content)-most:]
	}
	return string(content)
}
