package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports of the roles, as in the product's documentation.
const (
	portSessions     = 7101
	portPeers        = 7102
	portRPC          = 7103
	portOps          = 7104
	portCallers      = 8080
	portRouterOps    = 8081
	portRequests     = 7201
	portAgentOps     = 7203
	portBackend      = 9000
	portMachineList  = 9100
	firstProxyPort   = 10000
	probesForNetwork = 50
)

// Third byte of the addresses of each role.
const (
	kindController = 1
	kindRouter     = 2
	kindAgent      = 3
	kindLab        = 4
)

// network is the second byte of a fleet's addresses 127.N.x.y, so that fleets
// side by side do not meet.
type network byte

// chooseNetwork finds a network that no other fleet on this machine uses.
func chooseNetwork() (network, net.Listener, error) {
	const networks = 250
	for range probesForNetwork {
		candidate := network(1 + rand.IntN(networks))
		marker, err := net.Listen("tcp", candidate.address(kindLab, 0, portMachineList))
		if err == nil {
			return candidate, marker, nil
		}
	}
	return 0, nil, fmt.Errorf("no free network 127.N.0.0 found")
}

// address returns the address of member number index, from zero, of a kind.
func (n network) address(kind, index, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", n, kind, index+1, port)
}
