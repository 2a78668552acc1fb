package command

import (
	"context"
	"fmt"

	"github.com/quartzdock/quartzdock/internal/controller"
	"github.com/quartzdock/quartzdock/internal/replica"
	"github.com/quartzdock/quartzdock/internal/settings"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// runController runs the controller role.
func runController(ctx context.Context, p *process, config *settings.Controller) error {
	c, err := controller.Start(controller.Config{
		Group:            p.group(),
		Location:         config.Location(),
		SessionListen:    config.SessionListen,
		SessionAdvertise: config.SessionAdvertise,
		RPCListen:        config.RPCListen,
		LeaseDuration:    config.LeaseDuration,
		RenewInterval:    config.RenewInterval,
		MachineListURL:   config.MachineList,
		LinkTLS:          p.certificates.linkTLS(),
		OperatorTLS:      p.certificates.operatorTLS(),
		Registerer:       p.registry,
		Log:              p.log,
		Replicate:        controller.ReplicateOn(replicaConfig(p, config)),
	})
	if err != nil {
		return fmt.Errorf("controller: %w", err)
	}
	p.setReady(c.Ready)
	<-ctx.Done()
	return c.Stop()
}

// replicaConfig returns the configuration of the controller's replica.
func replicaConfig(p *process, config *settings.Controller) replica.Config {
	peers := make([]replica.Peer, 0, len(config.Peers))
	for _, peer := range config.InitialPeers() {
		peers = append(peers, replica.Peer{ID: peer.ID, Address: peer.Address})
	}
	return replica.Config{
		Group:   p.group(),
		ID:      topology.ReplicaID(config.ReplicaID),
		DataDir: config.DataFolder,
		Peers:   peers,
		Listen:  config.PeerListen,
		TLS:     p.certificates.linkTLS(),
		Logger:  p.log,
	}
}
