package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/lab/deployment"
)

// process makes a process of the fleet with its log.
func (f *Fleet) process(name, binary string, arguments []string) *Process {
	return &Process{
		Name:      name,
		Log:       filepath.Join(f.config.Folder, name+".log"),
		binary:    binary,
		arguments: arguments,
	}
}

// dataFolder makes the data folder of a process.
func (f *Fleet) dataFolder(name string) (string, error) {
	folder := filepath.Join(f.config.Folder, "data-"+name)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", fmt.Errorf("data folder of %s: %w", name, err)
	}
	return folder, nil
}

// zone spreads members over the zones in order.
func (f *Fleet) zone(index int) topology.ZoneName {
	zones := f.config.Deployment.Zones
	return zones[index%len(zones)]
}

func (f *Fleet) common(name string, index int, ops string) []string {
	return []string{
		"--name=" + name,
		"--location.region=" + string(f.config.Deployment.Region),
		"--location.zone=" + string(f.zone(index)),
		"--ops.listen=" + ops,
	}
}

// controllerAddresses returns the addresses by which all controllers are
// reached for one kind of link.
func (f *Fleet) controllerAddresses(kind linkKind, port int) ([]string, error) {
	addresses := make([]string, f.config.Deployment.Controllers)
	for index := range addresses {
		address, err := f.link(kind, controllerName(index), f.network.address(kindController, index, port))
		if err != nil {
			return nil, err
		}
		addresses[index] = address
	}
	return addresses, nil
}

func controllerName(index int) string { return fmt.Sprintf("controller-%d", index+1) }

func (f *Fleet) layOutController(index int) (*Process, error) {
	name := controllerName(index)
	folder, err := f.dataFolder(name)
	if err != nil {
		return nil, err
	}
	peers := make([]string, len(f.peers))
	for number, address := range f.peers {
		peers[number] = fmt.Sprintf("%d=%s", number+1, address)
	}
	arguments := append([]string{"controller"},
		f.common(name, index, f.network.address(kindController, index, portOps))...)
	arguments = append(arguments,
		"--data-folder="+folder,
		fmt.Sprintf("--replica-id=%d", index+1),
		"--peers="+strings.Join(peers, ","),
		"--session.listen="+f.network.address(kindController, index, portSessions),
		"--session.advertise="+f.sessions[index],
		"--peer.listen="+f.network.address(kindController, index, portPeers),
		"--rpc.listen="+f.network.address(kindController, index, portRPC),
		"--machine-list.url="+f.MachineListURL(),
	)
	arguments = append(arguments, f.config.ControllerArguments...)
	return f.process(name, f.config.Binaries.Product, arguments), nil
}

func (f *Fleet) layOutRouter(index int) *Process {
	name := fmt.Sprintf("router-%d", index+1)
	arguments := append([]string{"router"},
		f.common(name, index, f.network.address(kindRouter, index, portRouterOps))...)
	arguments = append(arguments,
		"--callers.listen="+f.network.address(kindRouter, index, portCallers),
		"--controllers="+strings.Join(f.sessions, ","),
	)
	arguments = append(arguments, f.config.RouterArguments...)
	return f.process(name, f.config.Binaries.Product, arguments)
}

func (f *Fleet) layOutMember(service deployment.Service, index int) (*Member, error) {
	number := len(f.Members)
	name := fmt.Sprintf("%s-%d", service.Name, index+1)
	folder, err := f.dataFolder(name)
	if err != nil {
		return nil, err
	}
	listen := f.network.address(kindAgent, number, portRequests)
	backend := f.network.address(kindAgent, number, portBackend)
	member := &Member{
		Service:        service.Name,
		Name:           name,
		Location:       topology.Location{Region: f.config.Deployment.Region, Zone: f.zone(index)},
		BackendAddress: backend,
		settings:       service,
	}
	if member.AgentAddress, err = f.link(linkRequests, name, listen); err != nil {
		return nil, err
	}
	guarded, err := f.link(linkBackend, name, backend)
	if err != nil {
		return nil, err
	}
	arguments := append([]string{"agent"},
		f.common(name, index, f.network.address(kindAgent, number, portAgentOps))...)
	arguments = append(arguments,
		"--controllers="+strings.Join(f.sessions, ","),
		"--data-folder="+folder,
		"--requests.listen="+listen,
		"--requests.advertise="+member.AgentAddress,
		"--backend.address="+guarded,
	)
	arguments = append(arguments, f.config.AgentArguments...)
	member.Agent = f.process("agent-"+name, f.config.Binaries.Product, arguments)
	member.Backend = f.process("backend-"+name, f.config.Binaries.Lab, f.backendArguments(member))
	return member, nil
}

func (f *Fleet) backendArguments(member *Member) []string {
	server := member.settings.Backend
	return []string{
		"backend",
		"--name=" + member.Name,
		"--listen=" + member.BackendAddress,
		"--ledger=" + filepath.Join(f.config.Folder, "ledger-backend-"+member.Name),
		fmt.Sprintf("--slots=%d", server.Slots),
		fmt.Sprintf("--connections=%d", server.Connections),
		"--connect-cost=" + server.ConnectCost.String(),
		"--probe-cost=" + server.ProbeCost.String(),
		"--cold-start=" + server.ColdStart.String(),
	}
}

// link returns the address by which a target is reached: its own, or that of a
// fault proxy before it.
func (f *Fleet) link(kind linkKind, name, target string) (string, error) {
	if f.Links == nil {
		return target, nil
	}
	return f.Links.add(kind, name, target)
}
