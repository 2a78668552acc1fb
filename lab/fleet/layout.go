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

func (f *Fleet) layOutController(index int) (*Process, error) {
	name := fmt.Sprintf("controller-%d", index+1)
	folder, err := f.dataFolder(name)
	if err != nil {
		return nil, err
	}
	peers := make([]string, f.config.Deployment.Controllers)
	for peer := range peers {
		peers[peer] = fmt.Sprintf("%d=%s", peer+1, f.network.address(kindController, peer, portPeers))
	}
	arguments := append([]string{"controller"},
		f.common(name, index, f.network.address(kindController, index, portOps))...)
	arguments = append(arguments,
		"--data-folder="+folder,
		fmt.Sprintf("--replica-id=%d", index+1),
		"--peers="+strings.Join(peers, ","),
		"--session.listen="+f.network.address(kindController, index, portSessions),
		"--peer.listen="+f.network.address(kindController, index, portPeers),
		"--rpc.listen="+f.network.address(kindController, index, portRPC),
		"--machine-list.url="+f.MachineListURL(),
	)
	arguments = append(arguments, f.config.ControllerArguments...)
	return f.process(name, f.config.Binaries.Product, arguments), nil
}

func (f *Fleet) layOutRouter(index int) (*Process, error) {
	name := fmt.Sprintf("router-%d", index+1)
	sessions, err := f.sessions(name)
	if err != nil {
		return nil, err
	}
	arguments := append([]string{"router"},
		f.common(name, index, f.network.address(kindRouter, index, portRouterOps))...)
	arguments = append(arguments,
		"--callers.listen="+f.network.address(kindRouter, index, portCallers),
		"--controllers="+sessions,
	)
	arguments = append(arguments, f.config.RouterArguments...)
	return f.process(name, f.config.Binaries.Product, arguments), nil
}

func (f *Fleet) layOutMember(service deployment.Service, index int) (*Member, error) {
	number := len(f.Members)
	name := fmt.Sprintf("%s-%d", service.Name, index+1)
	folder, err := f.dataFolder(name)
	if err != nil {
		return nil, err
	}
	sessions, err := f.sessions(name)
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
		"--controllers="+sessions,
		"--data-folder="+folder,
		"--requests.listen="+listen,
		"--peer.listen="+f.network.address(kindAgent, number, portRecords),
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

// sessions returns the session addresses of all controllers for a process.
func (f *Fleet) sessions(name string) (string, error) {
	addresses := make([]string, f.config.Deployment.Controllers)
	for index := range addresses {
		target := f.network.address(kindController, index, portSessions)
		address, err := f.link(linkSession, fmt.Sprintf("%s controller-%d", name, index+1), target)
		if err != nil {
			return "", err
		}
		addresses[index] = address
	}
	return strings.Join(addresses, ","), nil
}

// link returns the address by which a target is reached: its own, or that of a
// fault proxy before it.
func (f *Fleet) link(kind linkKind, name, target string) (string, error) {
	if f.Links == nil {
		return target, nil
	}
	return f.Links.add(kind, name, target)
}
