package fleet

import (
	"errors"

	"github.com/quartzdock/quartzdock/lab/faultproxy"
)

// linkKind says what travels on a link.
type linkKind string

// Kinds of links.
const (
	// linkRequests leads to an agent, from routers.
	linkRequests linkKind = "requests"
	// linkBackend leads to a back end, from its agent.
	linkBackend linkKind = "backend"
	// linkSessions leads to a controller, from routers and agents.
	linkSessions linkKind = "sessions"
	// linkPeers leads to a controller, from the other controllers.
	linkPeers linkKind = "peers"
)

// Links are the fault proxies of a fleet, one before each listener. A proxy
// knows which process opened a connection, so that a link from one process to
// another can be cut alone. Forward is the direction towards the listener.
type Links struct {
	network network
	seed    uint64
	// process names the process with a process id; empty if it is none of the
	// fleet.
	processes func() map[int]string
	proxies   map[string]*faultproxy.Proxy
	order     []*faultproxy.Proxy
}

func newLinks(network network, seed uint64, processes func() map[int]string) *Links {
	return &Links{
		network: network, seed: seed, processes: processes, proxies: make(map[string]*faultproxy.Proxy),
	}
}

func (l *Links) add(kind linkKind, name, target string) (string, error) {
	full := string(kind) + " " + name
	number := len(l.order)
	proxy, err := faultproxy.Listen(faultproxy.Config{
		Name:   full,
		Listen: l.network.address(kindLab, 0, firstProxyPort+number),
		Target: target,
		Seed:   l.seed + uint64(number),
		Source: l.source,
	})
	if err != nil {
		return "", err
	}
	l.proxies[full] = proxy
	l.order = append(l.order, proxy)
	return proxy.Address(), nil
}

func (l *Links) find(kind linkKind, name string) *faultproxy.Proxy {
	return l.proxies[string(kind)+" "+name]
}

// Requests is the link from all routers to the agent of a member.
func (l *Links) Requests(member string) *faultproxy.Proxy { return l.find(linkRequests, member) }

// Backend is the link from the agent of a member to its back end.
func (l *Links) Backend(member string) *faultproxy.Proxy { return l.find(linkBackend, member) }

// Sessions is the link from all routers and agents to a controller.
func (l *Links) Sessions(controller string) *faultproxy.Proxy {
	return l.find(linkSessions, controller)
}

// Peers is the link from all other controllers to a controller.
func (l *Links) Peers(controller string) *faultproxy.Proxy { return l.find(linkPeers, controller) }

// CutSessions sets faults between a router or agent and all controllers.
func (f *Fleet) CutSessions(process *Process, faults faultproxy.Faults) error {
	var findings []error
	for _, controller := range f.Controllers {
		findings = append(findings, f.Links.Sessions(controller.Name).SetFor(process.Name, faults))
	}
	return errors.Join(findings...)
}

// Isolate cuts a controller off from the other controllers, silently and in
// both directions.
func (f *Fleet) Isolate(controller *Process) error {
	findings := []error{f.Links.Peers(controller.Name).Set(faultproxy.BlackHole())}
	for _, other := range f.Controllers {
		if other != controller {
			cut := f.Links.Peers(other.Name).SetFor(controller.Name, faultproxy.BlackHole())
			findings = append(findings, cut)
		}
	}
	return errors.Join(findings...)
}

// Heal removes the faults of all links.
func (l *Links) Heal() {
	for _, proxy := range l.order {
		proxy.Heal()
	}
}

func (l *Links) close() error {
	var findings []error
	for _, proxy := range l.order {
		findings = append(findings, proxy.Close())
	}
	return errors.Join(findings...)
}
