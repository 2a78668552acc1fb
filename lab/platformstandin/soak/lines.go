package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/lab/pause"
	"github.com/quartzdock/quartzdock/lab/platformstandin"
)

const (
	// linesEach callers at each gateway send ahead, longestLine requests at the most, with
	// linePause between two lines.
	linesEach   = 2
	longestLine = 8
	linePause   = 100 * time.Millisecond
	// slowReaders is one in how many lines whose caller waits for slowRead before it takes
	// each answer.
	slowReaders = 4
	slowRead    = 60 * time.Millisecond
	// onceInLine is one in how many requests of a line that must not be repeated.
	onceInLine = 5
)

// runLines sends lines of requests until the context ends.
func (c *callers) runLines(ctx context.Context, seed uint64) {
	var all sync.WaitGroup
	for _, at := range spread(len(c.fleet.gateways), linesEach, c.fleet.size.Callers*linesEach/callersEach) {
		random := rand.New(rand.NewPCG(seed, uint64(1_000_000+at.gateway*linesEach+at.number)))
		gateway := c.fleet.gateways[at.gateway]
		all.Go(func() {
			for pause.For(ctx, linePause) == nil {
				c.line(ctx, gateway.machine, random)
			}
		})
	}
	all.Wait()
}

// line sends one line and checks that each answer belongs to the request in its place. A
// line that breaks is not sent again: what has no answer is unknown.
func (c *callers) line(ctx context.Context, gateway *platformstandin.Machine, random *rand.Rand) {
	line := make([]platformstandin.LineRequest, 1+random.IntN(longestLine))
	for i := range line {
		line[i] = platformstandin.LineRequest{Method: http.MethodGet, Host: host, Path: keyedPath, ID: c.next(), Key: drawKey(random)}
		if random.IntN(onceInLine) == 0 {
			line[i].Method, line[i].Path = http.MethodPost, oncePath
		}
	}
	var wait time.Duration
	if random.IntN(slowReaders) == 0 {
		wait = slowRead
	}
	answers, _ := gateway.CallLine(ctx, line, wait)
	if len(answers) == 0 {
		return
	}
	c.counts.lines.Add(1)
	for i, answer := range answers {
		if broken := check(c.fleet.Ledger, line[i].ID, answer); broken != "" {
			c.fleet.Ledger.Broken("in a line of %d, place %d: %s", len(line), i, broken)
		}
	}
}
