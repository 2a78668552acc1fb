package agent

import (
	"context"
	"time"
)

// probeTimeout bounds the queries of one probe.
const probeTimeout = 2 * time.Second

// probe queries the back end's load endpoint periodically, and its health
// endpoint while the back end is not fit. No other process probes this back
// end. Both results are hints only: a fit back end is judged by its requests.
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
		agent.reportedBusy.Store(load.Busy)
	}
	if agent.backendState.Load() != uint32(stateFit) {
		agent.healthy.Store(agent.backend.Health(ctx) == nil)
	}
}
