package soak

import (
	"context"
	"errors"
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
	// oncePath is that of keyed requests that must not be repeated.
	oncePath = "/o/x"
	// callersEach are at work at each gateway, as long as there are no more than the
	// fleet is to have, with callPause between two requests of one.
	callersEach = 8
	callPause   = 25 * time.Millisecond
	lastKey     = 65535
	// longWork is one in how many requests that keep a back end at work for
	// leastLong to mostLong, so that runs are in progress at each end.
	longWork  = 2
	leastLong = 300 * time.Millisecond
	mostLong  = 1500 * time.Millisecond
	// lookUps is one in how many long requests whose back end makes a call of its
	// own, which keeps another one at work for mostLookUp at most. Such calls come to
	// a gateway that is stopping for as long as the runs beside it last.
	lookUps    = 1
	mostLookUp = 900 * time.Millisecond
)

// callers send requests and check what they get.
type callers struct {
	fleet  *fleet
	number atomic.Int64
	counts counts

	// unanswered are the outcomes that are no answers of back ends.
	mutex      sync.Mutex
	unanswered []platformstandin.Outcome
}

// counts are what callers got.
type counts struct {
	sent, lookUps, answered, notRun, unknown, lost, lines atomic.Int64
}

// next returns a new request id.
func (c *callers) next() string { return fmt.Sprintf("soak-%d", c.number.Add(1)) }

// run sends requests until the context ends.
func (c *callers) run(ctx context.Context, seed uint64) {
	var all sync.WaitGroup
	for _, at := range spread(len(c.fleet.gateways), callersEach, c.fleet.size.Callers) {
		random := rand.New(rand.NewPCG(seed, uint64(at.gateway*callersEach+at.number)))
		gateway := c.fleet.gateways[at.gateway]
		all.Go(func() {
			for pause.For(ctx, callPause) == nil {
				c.call(ctx, gateway.machine, random)
			}
		})
	}
	all.Wait()
}

// call sends one request and checks its answer. A caller that the end of the
// run cuts off has got none.
func (c *callers) call(ctx context.Context, home *platformstandin.Machine, random *rand.Rand) {
	id := c.next()
	method, path, key := drawRequest(random)
	work, lookUp := drawWork(random)
	c.counts.sent.Add(1)
	for _, gateway := range c.fleet.from(home, random.Int()) {
		sent := time.Now()
		answer, err := gateway.CallReady(ctx, method, host, path, id, key, "body", work, lookUp)
		if errors.Is(err, platformstandin.ErrLeft) {
			continue
		}
		if err != nil && ctx.Err() != nil {
			break
		}
		c.took(gateway, id, sent, answer, err)
		return
	}
	c.counts.lost.Add(1)
}

// drawRequest draws one of the routes, each as often as the others.
func drawRequest(random *rand.Rand) (method, path, key string) {
	const routes = 3
	switch random.IntN(routes) {
	case 0:
		return http.MethodGet, keyedPath, drawKey(random)
	case 1:
		return http.MethodPost, oncePath, drawKey(random)
	default:
		return http.MethodPost, plainPath, ""
	}
}

func drawKey(random *rand.Rand) string { return fmt.Sprint(random.IntN(lastKey + 1)) }

// drawWork draws for how long a back end is to be at work on a request, and the
// call that it makes meanwhile.
func drawWork(random *rand.Rand) (time.Duration, *platformstandin.LookUp) {
	if random.IntN(longWork) != 0 {
		return 0, nil
	}
	work := leastLong + time.Duration(random.Int64N(int64(mostLong-leastLong)))
	if random.IntN(lookUps) != 0 {
		return work, nil
	}
	return work, &platformstandin.LookUp{Key: drawKey(random), Work: time.Duration(random.Int64N(int64(mostLookUp)))}
}

// lookUp makes a call of a back end through the gateway beside it, whether that
// is ready or not: there is no other way.
func (c *callers) lookUp(ctx context.Context, beside *platformstandin.Machine, call platformstandin.LookUp) {
	id, sent := c.next(), time.Now()
	answer, err := beside.CallBeside(ctx, http.MethodGet, host, keyedPath, id, call)
	if ctx.Err() == nil {
		c.counts.lookUps.Add(1)
		c.took(beside, id, sent, answer, err)
	}
}

// from returns the gateways in the order in which a caller tries them: its own
// one, and one of the others after the other.
func (f *fleet) from(home *platformstandin.Machine, first int) []*platformstandin.Machine {
	order := []*platformstandin.Machine{home}
	for i := range f.gateways {
		if other := f.gateways[(first%len(f.gateways)+i)%len(f.gateways)].machine; other != home {
			order = append(order, other)
		}
	}
	return order
}

// took checks what a caller got from a gateway that took its request.
func (c *callers) took(gateway *platformstandin.Machine, id string, sent time.Time, answer platformstandin.Answer, err error) {
	ended := time.Now()
	if err == nil {
		if broken := check(c.fleet.Ledger, id, answer); broken != "" {
			c.fleet.Ledger.Broken("%s", broken)
		}
		c.count(answer.Status)
	} else {
		c.counts.lost.Add(1)
	}
	got, ofBackend := described(answer, err)
	if ofBackend {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.unanswered = append(c.unanswered, platformstandin.Outcome{
		Request: id, Gateway: gateway.Name, Sent: sent, Ended: ended, Deadline: sent.Add(requestTime), Got: got,
	})
}

// requestTime is how long a request has: the least of the caller's deadline and
// the route's time-out.
const requestTime = min(platformstandin.CallerDeadline, leastTimeout*time.Millisecond)

// described says what a caller got, and whether it is an answer of a back end.
func described(answer platformstandin.Answer, err error) (got string, ofBackend bool) {
	if err != nil {
		return fmt.Sprintf("no answer (%v)", err), false
	}
	return fmt.Sprintf("%d %.40q", answer.Status, strings.TrimSpace(answer.Body)), answer.Header.Get("Response-Seal") != ""
}

// checkStops checks what planned stops did to the requests that got no answer of
// a back end, and returns how many of those the rules excuse.
func (c *callers) checkStops() (excused int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, outcome := range c.unanswered {
		verdict, told := c.fleet.Ledger.CheckStops(c.fleet.Timeline, outcome)
		switch verdict {
		case platformstandin.Broken:
			c.fleet.Ledger.Broken("%s", told)
		case platformstandin.Excused:
			excused++
		}
	}
	return excused
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
