package agent

import (
	"context"
	"time"
)

// probeTimeout bounds one probe.
const probeTimeout = 2 * time.Second

// probe asks the back end's load endpoint, and its health endpoint while the
// back end is not fit. It is the only prober of this back end. Both answers
// are hints: a fit back end is judged by its real requests.
func (agent *Agent) probe(ctx context.Context) {
	ticker := time.NewTicker(agent.config.LoadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			agent.probeOnce(ctx)
		}
	}
}

func (agent *Agent) probeOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if load, err := agent.backend.Load(ctx); err == nil {
		agent.claimed.Store(load.Busy)
	}
	if agent.backendState.Load() != uint32(stateFit) {
		agent.healthy.Store(agent.backend.Health(ctx) == nil)
	}
}
