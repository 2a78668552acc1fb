package command

import (
	"context"
	"fmt"

	"github.com/quartzdock/quartzdock/internal/agent"
	"github.com/quartzdock/quartzdock/internal/settings"
	"github.com/quartzdock/quartzdock/internal/transport"
)

// noWarmConnections is what the agent takes for "keep none".
const noWarmConnections = -1

// runAgent runs the agent role.
func runAgent(ctx context.Context, p *process, config *settings.Agent) error {
	warm := config.WarmConnections
	if warm == 0 {
		warm = noWarmConnections
	}
	a, err := agent.New(agent.Config{
		Name:            config.Name,
		Group:           p.group(),
		Location:        config.Location(),
		Controllers:     config.Controllers,
		Listen:          config.RequestListen,
		Advertise:       config.RequestAdvertise,
		DataFolder:      config.DataFolder,
		BackendAddress:  config.BackendAddress,
		ServerTLS:       p.certificates.links(),
		ClientTLS:       p.certificates.links(),
		Transport:       transport.Options{TLS: p.certificates.links()},
		MaxBodyBytes:    int64(config.MaximumBodyBytes),
		MaxHeaderBytes:  config.MaximumHeaderBytes,
		HeaderTimeout:   config.HeaderTimeout,
		DialTimeout:     config.DialTimeout,
		WarmConnections: warm,
		LoadInterval:    config.LoadInterval,
		StopTimeout:     config.StopTimeout,
		Log:             p.log,
		Registry:        p.registry,
	})
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	p.setReady(a.Ready)
	return a.Run(ctx)
}
