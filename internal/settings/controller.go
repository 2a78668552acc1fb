package settings

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// Controller holds the settings of a controller, one replica of the control
// state.
type Controller struct {
	Process
	DataFolder    string
	ReplicaID     int
	Peers         []string
	Join          bool
	SessionListen string
	// SessionAdvertise is empty if SessionListen is advertised.
	SessionAdvertise string
	PeerListen       string
	RPCListen        string
	LeaseDuration    time.Duration
	RenewInterval    time.Duration
	MachineList      string
}

// Peer is one initial member of a group.
type Peer struct {
	ID      topology.ReplicaID
	Address string
}

// declare implements Schema.
func (controller *Controller) declare(set *FieldSet) {
	controller.Process.declare(set, "127.0.0.1:7104")
	set.text(&controller.DataFolder, Field{
		Name: "data-folder", Required: true, Example: "/var/lib/quartzdock/controller", Unit: "path of a folder",
		Usage: "Folder on a local disk that holds the log, the snapshots and the incarnation of this replica. It is made at the first start. A replica that lost its folder must be replaced with admin, not restarted.",
	}, notEmpty)
	set.count(&controller.ReplicaID, Field{
		Name: "replica-id", Default: "0", Example: "1", Unit: "number",
		Usage: "Identity of this replica among the initial members. With join it stays 0, as the group gives the identity. An identity is never used again after its replica was removed or lost its data folder.",
	}, 0, 1<<30)
	set.texts(&controller.Peers, Field{
		Name: "peers", Required: true, Unit: "ID=IP:port",
		Example: "1=127.0.0.1:7102,2=127.0.0.2:7102,3=127.0.0.3:7102",
		Usage:   "Members of the group and their peer.listen addresses, this replica among them. At the first start they are the initial members; later they only tell where to find the group.",
	}, isPeer)
	set.flag(&controller.Join, Field{
		Name: "join", Default: "false",
		Usage: "Wait to be added to an existing group by admin, in place of forming a new one. Set it for a replacement of a lost replica.",
	})
	set.text(&controller.SessionListen, Field{
		Name: "session.listen", Default: "127.0.0.1:7101", Unit: "IP:port",
		Usage: "Address where routers and agents open sessions.",
	}, isAddress)
	set.text(&controller.SessionAdvertise, Field{
		Name: "session.advertise", Unit: "IP:port",
		Usage: "Address that routers and agents are told for this controller. Empty takes session.listen; give it where that is not reachable from other machines.",
	}, optional(isAddress))
	set.text(&controller.PeerListen, Field{
		Name: "peer.listen", Default: "127.0.0.1:7102", Unit: "IP:port",
		Usage: "Address where the other replicas of the group connect.",
	}, isAddress)
	set.text(&controller.RPCListen, Field{
		Name: "rpc.listen", Default: "127.0.0.1:7103", Unit: "IP:port",
		Usage: "Address of the operators' RPC (Connect, gRPC and JSON over HTTP).",
	}, isAddress)
	set.duration(&controller.LeaseDuration, Field{
		Name: "lease.duration", Default: "500ms",
		Usage: "How long an agent may serve its shards after it last asked for its lease. A lost owner is replaced after at most this time plus the detection of a leader. All replicas must have the same value.",
	}, 100*time.Millisecond, time.Minute)
	set.duration(&controller.RenewInterval, Field{
		Name: "lease.renew-interval", Default: "125ms",
		Usage: "How often an agent asks for its lease.",
	}, 20*time.Millisecond, 20*time.Second)
	set.text(&controller.MachineList, Field{
		Name: "machine-list.url", Unit: "URL",
		Usage: "URL of the platform's list of live and leaving machines, fetched by the leader. Empty uses none. The list lags, so it can only start a planned move, never end a lease.",
	})
	set.check(controller.checkPeers)
	set.check(controller.checkLease)
	controller.TLS.requireTLSOffLoopback(set, "session.listen", "peer.listen", "rpc.listen", "ops.listen")
}

// checkPeers reports peers that are listed twice, and a replica-id that does not fit
// join and the listed peers.
func (controller *Controller) checkPeers(report func(field, problem string)) {
	seen := make(map[topology.ReplicaID]bool)
	for _, peer := range controller.InitialPeers() {
		if seen[peer.ID] {
			report("peers", fmt.Sprintf("replica %d is listed twice", peer.ID))
		}
		seen[peer.ID] = true
	}
	self := topology.ReplicaID(controller.ReplicaID)
	switch {
	case controller.Join && self != 0:
		report("replica-id", "must be 0 with join, as the group gives the identity")
	case !controller.Join && self == 0:
		report("replica-id", "required without join")
	case !controller.Join && len(seen) > 0 && !seen[self]:
		report("peers", fmt.Sprintf("this replica (replica-id %d) is not listed", self))
	}
}

// checkLease requires a renew interval of at most a third of the lease, so that two
// renewals can be lost.
func (controller *Controller) checkLease(report func(field, problem string)) {
	const renewalsPerLease = 3
	if controller.RenewInterval*renewalsPerLease > controller.LeaseDuration {
		report("lease.renew-interval", fmt.Sprintf("must be at most a third of lease.duration (%s), so that two renewals can be lost", controller.LeaseDuration))
	}
}

// InitialPeers returns the parsed peers. Invalid ones are left out, as they are
// reported as findings.
func (controller *Controller) InitialPeers() []Peer {
	peers := make([]Peer, 0, len(controller.Peers))
	for _, text := range controller.Peers {
		if peer, err := parsePeer(text); err == nil {
			peers = append(peers, peer)
		}
	}
	return peers
}

// isPeer accepts "ID=IP:port".
func isPeer(text string) error {
	_, err := parsePeer(text)
	return err
}

// parsePeer parses "ID=IP:port".
func parsePeer(text string) (Peer, error) {
	number, address, found := strings.Cut(text, "=")
	if !found {
		return Peer{}, errors.New("is not ID=IP:port")
	}
	id, err := strconv.ParseUint(strings.TrimSpace(number), 10, 32)
	if err != nil || id == 0 {
		return Peer{}, errors.New("the ID is not a number from 1")
	}
	address = strings.TrimSpace(address)
	return Peer{ID: topology.ReplicaID(id), Address: address}, isAddress(address)
}
