package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/lab/deployment"
	"github.com/quartzdock/quartzdock/lab/ledger"
	"github.com/quartzdock/quartzdock/lab/pause"
)

// ProbeConfig says what to probe.
type ProbeConfig struct {
	// Routers are the addresses that probes go to in turn.
	Routers []string
	// Services to probe, each by its first operation that is a look-up.
	Services []deployment.Service
	// Keys of each service, "probe-0" and so on.
	Keys int
	// Interval between two probes of a key.
	Interval time.Duration
	// Deadline of a probe.
	Deadline time.Duration
	// Seed of the request ids.
	Seed uint64
	// Ledger is the path of the ledger.
	Ledger string
}

// Probe asks for every key at a steady rate until the context ends, to measure
// when keys cannot be served. Probes are look-ups, take no work and are never
// sent again.
func Probe(ctx context.Context, config ProbeConfig) error {
	writer, err := ledger.OpenWriter(config.Ledger)
	if err != nil {
		return err
	}
	defer writer.Close()
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true}
	defer transport.CloseIdleConnections()
	c := &caller{
		config:    Config{Routers: config.Routers, Caller: "probe"},
		ledger:    writer,
		transport: transport,
		summary:   newSummary(),
	}
	var all sync.WaitGroup
	for number, service := range config.Services {
		operation, found := lookUp(service)
		if !found {
			return fmt.Errorf("service %s has no look-up to probe", service.Name)
		}
		operation.Deadline = config.Deadline
		for key := range config.Keys {
			random := rand.New(rand.NewPCG(config.Seed, uint64(number*config.Keys+key)))
			all.Go(func() { c.probeKey(ctx, service.Name, operation, ProbeKey(key), config.Interval, random) })
		}
	}
	all.Wait()
	return nil
}

// ProbeKey returns the name of a probed key.
func ProbeKey(number int) string { return fmt.Sprintf("probe-%d", number) }

func lookUp(service deployment.Service) (deployment.Operation, bool) {
	for _, operation := range service.Operations {
		if operation.Method == http.MethodGet && !operation.Bulk {
			return operation, true
		}
	}
	return deployment.Operation{}, false
}

// probeKey probes one key on an open schedule.
func (c *caller) probeKey(ctx context.Context, service string, operation deployment.Operation,
	key string, interval time.Duration, random *rand.Rand) {
	var pending sync.WaitGroup
	defer pending.Wait()
	due := time.Now().Add(time.Duration(random.Float64() * float64(interval)))
	for pause.For(ctx, time.Until(due)) == nil {
		probe := request{
			id: newRequestID(time.Now(), random), service: service, operation: operation, key: key, due: due,
		}
		pending.Go(func() { c.perform(probe) })
		due = due.Add(interval)
	}
}
