// Package fleet starts a whole deployment as real processes on loopback
// addresses: controllers with data folders, routers, and for each back end an
// agent and a stand-in server. It keeps their logs and ledgers in one folder,
// ends, freezes and restarts them by process id, and leaves nothing behind.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/lab/deployment"
	"github.com/quartzdock/quartzdock/lab/machines"
)

// Config of a fleet.
type Config struct {
	// Deployment says what to run.
	Deployment *deployment.Deployment
	// Binaries to run.
	Binaries Binaries
	// Folder for data folders, logs and ledgers. It must exist; it is not
	// removed.
	Folder string
	// MachineListLag is how late the list of machines shows changes.
	MachineListLag time.Duration
	// Proxied puts a fault proxy on each link; see Links.
	Proxied bool
	// Seed of the fault proxies.
	Seed uint64
	// ControllerArguments, RouterArguments and AgentArguments are added to the
	// command lines.
	ControllerArguments []string
	RouterArguments     []string
	AgentArguments      []string
}

// Member is one back end and the agent beside it.
type Member struct {
	// Service and Name of the back end.
	Service  string
	Name     string
	Location topology.Location
	// AgentAddress is where routers reach the agent.
	AgentAddress string
	// BackendAddress is where the stand-in listens.
	BackendAddress string
	Agent          *Process
	Backend        *Process

	settings deployment.Service
}

// Fleet is a running deployment.
type Fleet struct {
	Controllers []*Process
	Routers     []*Process
	Members     []*Member
	// Links are the fault proxies; nil without Config.Proxied.
	Links *Links
	// Machines is the platform's list of machines.
	Machines *machines.List

	config  Config
	network network
	// sessions and peers are where controllers are reached.
	sessions []string
	peers    []string
	marker   net.Listener
	platform *http.Server
}

// New lays a fleet out without starting any process.
func New(config Config) (*Fleet, error) {
	network, marker, err := chooseNetwork()
	if err != nil {
		return nil, err
	}
	f := &Fleet{config: config, network: network, marker: marker}
	if config.Proxied {
		f.Links = newLinks(network, config.Seed, f.processIDs)
	}
	if err := f.layOut(); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	f.startPlatform()
	return f, nil
}

func (f *Fleet) layOut() error {
	var err error
	if f.sessions, err = f.controllerAddresses(linkSessions, portSessions); err != nil {
		return err
	}
	if f.peers, err = f.controllerAddresses(linkPeers, portPeers); err != nil {
		return err
	}
	for index := range f.config.Deployment.Controllers {
		process, err := f.layOutController(index)
		if err != nil {
			return err
		}
		f.Controllers = append(f.Controllers, process)
	}
	for _, service := range f.config.Deployment.Services {
		for index := range service.Backends {
			member, err := f.layOutMember(service, index)
			if err != nil {
				return err
			}
			f.Members = append(f.Members, member)
		}
	}
	for index := range f.config.Deployment.Routers {
		f.Routers = append(f.Routers, f.layOutRouter(index))
	}
	return nil
}

// startPlatform serves the list of machines.
func (f *Fleet) startPlatform() {
	listed := make([]machines.Machine, 0, len(f.Members))
	for _, member := range f.Members {
		listed = append(listed, machines.Machine{Backend: member.Name, State: machines.Live})
	}
	f.Machines = machines.NewList(f.config.MachineListLag, listed)
	f.platform = &http.Server{Handler: f.Machines.Handler(), ReadHeaderTimeout: time.Second}
	go f.platform.Serve(f.marker)
}

// MachineListURL is where the list of machines is served.
func (f *Fleet) MachineListURL() string {
	return fmt.Sprintf("http://%s/machines", f.marker.Addr())
}

// RouterAddresses are where callers send requests.
func (f *Fleet) RouterAddresses() []string {
	addresses := make([]string, len(f.Routers))
	for index := range f.Routers {
		addresses[index] = f.network.address(kindRouter, index, portCallers)
	}
	return addresses
}

// ControllerRPCAddresses are where operators' calls go.
func (f *Fleet) ControllerRPCAddresses() []string {
	addresses := make([]string, len(f.Controllers))
	for index := range f.Controllers {
		addresses[index] = f.network.address(kindController, index, portRPC)
	}
	return addresses
}

// BackendLedgers is the pattern of the stand-ins' ledgers.
func (f *Fleet) BackendLedgers() string { return filepath.Join(f.config.Folder, "ledger-backend-*") }

// CallerLedger is the path for the ledger of a caller of that name.
func (f *Fleet) CallerLedger(name string) string {
	return filepath.Join(f.config.Folder, "ledger-caller-"+name)
}

// CallerLedgers is the pattern of the callers' ledgers.
func (f *Fleet) CallerLedgers() string { return f.CallerLedger("*") }

// Processes lists all processes.
func (f *Fleet) Processes() []*Process {
	all := append([]*Process(nil), f.Controllers...)
	all = append(all, f.Routers...)
	for _, member := range f.Members {
		all = append(all, member.Agent, member.Backend)
	}
	return all
}

// processIDs names the running processes by their ids.
func (f *Fleet) processIDs() map[int]string {
	names := make(map[int]string)
	for _, process := range f.Processes() {
		if pid := process.ID(); pid != 0 {
			names[pid] = process.Name
		}
	}
	return names
}

// Start starts all processes, makes the deployment's services and back ends by
// RPC and waits until every shard has an owner and every router answers.
func (f *Fleet) Start(ctx context.Context) error {
	for _, process := range f.Processes() {
		if err := process.Start(); err != nil {
			return err
		}
	}
	admin := f.Admin()
	if err := admin.Configure(ctx, f.config.Deployment, f.Members); err != nil {
		return f.explain(fmt.Errorf("configure: %w", err))
	}
	if err := admin.WaitOwned(ctx, f.config.Deployment); err != nil {
		return f.explain(err)
	}
	if err := f.waitRouters(ctx); err != nil {
		return f.explain(err)
	}
	return nil
}

// explain adds the names and last words of processes that have ended.
func (f *Fleet) explain(err error) error {
	const lines = 5
	text := ""
	for _, process := range f.Processes() {
		if !process.Running() {
			text += fmt.Sprintf("\n%s has ended: %s", process.Name, process.LastLines(lines))
		}
	}
	return fmt.Errorf("%w%s", err, text)
}

// pollInterval is how often a condition is looked at.
const pollInterval = 20 * time.Millisecond

// waitRouters waits until every router says that it is ready.
func (f *Fleet) waitRouters(ctx context.Context) error {
	for index := range f.Routers {
		url := fmt.Sprintf("http://%s/readyz", f.network.address(kindRouter, index, portRouterOps))
		if err := waitOK(ctx, url); err != nil {
			return fmt.Errorf("router %d: %w", index+1, err)
		}
	}
	return nil
}

func waitOK(ctx context.Context, url string) error {
	var last error
	for {
		if last = getOK(ctx, url); last == nil {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("%w; last: %w", ctx.Err(), last)
		}
	}
}

func getOK(ctx context.Context, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, response.Status)
	}
	return nil
}

// Stop kills all processes and ends the proxies. Files stay in the folder.
func (f *Fleet) Stop() error {
	var findings []error
	var all sync.WaitGroup
	var mutex sync.Mutex
	for _, process := range f.Processes() {
		if !process.Running() {
			continue
		}
		all.Go(func() {
			if err := process.Kill(); err != nil && !errors.Is(err, errNotRunning) {
				mutex.Lock()
				defer mutex.Unlock()
				findings = append(findings, err)
			}
		})
	}
	all.Wait()
	if f.Links != nil {
		findings = append(findings, f.Links.close())
	}
	if f.platform != nil {
		findings = append(findings, f.platform.Close())
	}
	f.marker.Close()
	http.DefaultClient.CloseIdleConnections()
	return errors.Join(findings...)
}

// Member returns the member of that name.
func (f *Fleet) Member(name string) *Member {
	for _, member := range f.Members {
		if member.Name == name {
			return member
		}
	}
	return nil
}

// Panics returns the names of processes whose logs show a panic or a data
// race.
func (f *Fleet) Panics() []string {
	var names []string
	for _, process := range f.Processes() {
		text, err := os.ReadFile(process.Log)
		if err != nil {
			continue
		}
		if strings.Contains(string(text), "panic: ") || strings.Contains(string(text), "WARNING: DATA RACE") {
			names = append(names, process.Name)
		}
	}
	return names
}
