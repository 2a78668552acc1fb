package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quartzdock/quartzdock/lab/pause"
	"github.com/quartzdock/quartzdock/lab/platformstandin"
)

// Requests of the soak.
const (
	host      = "a.example"
	keyedPath = "/k/x"
	plainPath = "/p/x"
	// callersEach are at work at each gateway, with callPause between two
	// requests of one.
	callersEach = 4
	callPause   = 25 * time.Millisecond
	lastKey     = 65535
)

// callers send requests and check what they get.
type callers struct {
	fleet  *fleet
	number atomic.Int64
	counts counts
}

// counts are what callers got.
type counts struct {
	sent, answered, notRun, unknown, lost atomic.Int64
}

// next returns a new request id.
func (c *callers) next() string { return fmt.Sprintf("soak-%d", c.number.Add(1)) }

// run sends requests until the context ends.
func (c *callers) run(ctx context.Context, seed uint64) {
	var all sync.WaitGroup
	for i, gateway := range c.fleet.gateways {
		for j := range callersEach {
			random := rand.New(rand.NewPCG(seed, uint64(i*callersEach+j)))
			all.Go(func() {
				for pause.For(ctx, callPause) == nil {
					c.call(ctx, gateway.machine, random)
				}
			})
		}
	}
	all.Wait()
}

// call sends one request and checks its answer. A caller that the end of the
// run cuts off has got none.
func (c *callers) call(ctx context.Context, gateway *platformstandin.Machine, random *rand.Rand) {
	id := c.next()
	method, path, key := http.MethodPost, plainPath, ""
	if random.IntN(2) == 0 {
		method, path, key = http.MethodGet, keyedPath, fmt.Sprint(random.IntN(lastKey+1))
	}
	c.counts.sent.Add(1)
	answer, err := gateway.Call(ctx, method, host, path, id, key, "body")
	if err != nil {
		c.counts.lost.Add(1)
		return
	}
	if broken := check(c.fleet.Ledger, id, answer); broken != "" {
		c.fleet.Ledger.Broken("%s", broken)
	}
	c.count(answer.Status)
}

func (c *callers) count(status int) {
	switch {
	case status == http.StatusOK:
		c.counts.answered.Add(1)
	case promisesNotRun(status):
		c.counts.notRun.Add(1)
	default:
		c.counts.unknown.Add(1)
	}
}

// promisesNotRun says that a status promises that the request has not run and
// never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// check returns what an answer breaks, and notes promises.
func check(ledger *platformstandin.Ledger, id string, answer platformstandin.Answer) string {
	switch {
	case promisesNotRun(answer.Status):
		ledger.NotRun(id)
	case answer.Status == http.StatusOK && answer.Header.Get("Response-Seal") != "seal-"+id:
		return fmt.Sprintf("request %s got the success of another: %q", id, answer.Header.Get("Response-Seal"))
	case answer.Status == http.StatusOK && len(strings.Fields(answer.Body)) != answerFields:
		return fmt.Sprintf("request %s got a part of its answer: %q", id, answer.Body)
	case answer.Status == http.StatusNotFound:
		return fmt.Sprintf("request %s was denied though its route is there", id)
	}
	return ""
}

// answerFields is how many words a back end's whole answer has.
const answerFields = 5
