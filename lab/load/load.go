// Package load plays the callers: an open loop of requests in the mix of a
// deployment. Requests are sent when they are due, however slow the answers
// are, and latency counts from when a request was due, so that a stall is not
// left out of the figures. Every attempt is kept in a ledger.
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

// Config of a run.
type Config struct {
	// Deployment gives services, operations, rates and keys.
	Deployment *deployment.Deployment
	// Routers are the addresses that requests go to in turn, "IP:port".
	Routers []string
	// Duration of the offered load; answers are awaited after it.
	Duration time.Duration
	// RateFactor multiplies the rates of the deployment; zero is 1.
	RateFactor float64
	// Seed of arrivals, keys and request ids.
	Seed uint64
	// Ledger is the path of the caller's ledger; empty keeps none.
	Ledger string
	// Resends is how often a caller sends a request again, with the same id,
	// after an answer other than "answered".
	Resends int
	// Caller names the caller in requests.
	Caller string
	// OnAttempt, if set, is told of each attempt once it is in the ledger. Many
	// goroutines call it.
	OnAttempt func(ledger.CallerEntry)
	// Direct sends to back ends themselves: answers carry no outcome.
	Direct bool
}

// idleConnections is how many idle connections a caller keeps to a router.
const idleConnections = 512

// Run offers the load and returns what came of it once every request ended.
func Run(ctx context.Context, config Config) (*Summary, error) {
	writer, err := ledger.OpenWriter(config.Ledger)
	if err != nil {
		return nil, err
	}
	defer writer.Close()
	if config.RateFactor == 0 {
		config.RateFactor = 1
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true,
	}
	defer transport.CloseIdleConnections()
	caller := &caller{
		config:    config,
		ledger:    writer,
		transport: transport,
		summary:   newSummary(),
	}
	if err := caller.offer(ctx); err != nil {
		return nil, err
	}
	return caller.summary, nil
}

// arrival is one kind of request and what is needed to draw its next one.
type arrival struct {
	service   deployment.Service
	operation deployment.Operation
	rate      float64
	keys      *keyChooser
	next      time.Duration
}

// offer sends requests when they are due, until the duration or the context
// ends, and then waits for the answers.
func (c *caller) offer(ctx context.Context) error {
	random := rand.New(rand.NewPCG(c.config.Seed, 1))
	arrivals := c.arrivals(random)
	if len(arrivals) == 0 {
		return fmt.Errorf("deployment %q offers no load", c.config.Deployment.Name)
	}
	var pending sync.WaitGroup
	defer pending.Wait()
	start := time.Now()
	for {
		next := earliest(arrivals)
		if next.next >= c.config.Duration {
			return nil
		}
		due := start.Add(next.next)
		if err := pause.For(ctx, time.Until(due)); err != nil {
			return nil
		}
		request := c.draw(next, due, random)
		next.next += interval(next.rate, random)
		pending.Add(1)
		go func() {
			defer pending.Done()
			c.perform(request)
		}()
	}
}

func (c *caller) arrivals(random *rand.Rand) []*arrival {
	var arrivals []*arrival
	for _, service := range c.config.Deployment.Services {
		keys := newKeyChooser(service.Keys, random.Uint64())
		for _, operation := range service.Operations {
			rate := operation.Rate * c.config.RateFactor
			if rate <= 0 {
				continue
			}
			arrivals = append(arrivals, &arrival{
				service: service, operation: operation, rate: rate, keys: keys, next: interval(rate, random),
			})
		}
	}
	return arrivals
}

// interval draws the time between two arrivals of a Poisson process.
func interval(rate float64, random *rand.Rand) time.Duration {
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}

func earliest(arrivals []*arrival) *arrival {
	first := arrivals[0]
	for _, arrival := range arrivals[1:] {
		if arrival.next < first.next {
			first = arrival
		}
	}
	return first
}
