package command

import (
	"context"
	"fmt"

	"github.com/quartzdock/quartzdock/internal/agent"
	"github.com/quartzdock/quartzdock/internal/settings"
	"github.com/quartzdock/quartzdock/internal/transport"
)

// keepNoWarmConnections is the value of agent.Config.WarmConnections that keeps
// none; zero selects the agent's default there.
const keepNoWarmConnections = -1

// runAgent runs the agent role.
func runAgent(ctx context.Context, p *process, config *settings.Agent) error {
	warm := config.WarmConnections
	if warm == 0 {
		warm = keepNoWarmConnections
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
		ServerTLS:       p.certificates.linkTLS(),
		ClientTLS:       p.certificates.linkTLS(),
		Transport:       transport.Options{TLS: p.certificates.linkTLS()},
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
