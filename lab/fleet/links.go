package fleet

import (
	"errors"

	"github.com/quartzdock/quartzdock/lab/faultproxy"
)

// linkKind says what travels on a link.
type linkKind string

// Kinds of links.
const (
	// linkRequests is from all routers to one agent.
	linkRequests linkKind = "requests"
	// linkBackend is from one agent to its back end.
	linkBackend linkKind = "backend"
	// linkSession is from one router or agent to one controller.
	linkSession linkKind = "session"
)

// Links are the fault proxies of a fleet. Forward is the direction away from
// the callers: router to agent, agent to back end, member to controller.
type Links struct {
	network network
	seed    uint64
	proxies map[string]*faultproxy.Proxy
	order   []*faultproxy.Proxy
}

func newLinks(network network, seed uint64) *Links {
	return &Links{network: network, seed: seed, proxies: make(map[string]*faultproxy.Proxy)}
}

func (l *Links) add(kind linkKind, name, target string) (string, error) {
	full := string(kind) + " " + name
	number := len(l.order)
	address := l.network.address(kindLab, 0, firstProxyPort+number)
	proxy, err := faultproxy.Listen(full, address, target, l.seed+uint64(number))
	if err != nil {
		return "", err
	}
	l.proxies[full] = proxy
	l.order = append(l.order, proxy)
	return address, nil
}

// Requests is the link from all routers to the agent of a member.
func (l *Links) Requests(member string) *faultproxy.Proxy {
	return l.proxies[string(linkRequests)+" "+member]
}

// Backend is the link from the agent of a member to its back end.
func (l *Links) Backend(member string) *faultproxy.Proxy {
	return l.proxies[string(linkBackend)+" "+member]
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
