package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/quartzdock/quartzdock/internal/wire"
	"github.com/quartzdock/quartzdock/lab/answer"
	"github.com/quartzdock/quartzdock/lab/deployment"
	"github.com/quartzdock/quartzdock/lab/ledger"
)

type caller struct {
	config    Config
	ledger    *ledger.Writer
	transport *http.Transport
	summary   *Summary
	turn      atomic.Uint64
}

// request is one request with all its attempts.
type request struct {
	id        string
	service   string
	operation deployment.Operation
	key       string
	work      time.Duration
	due       time.Time
}

// maxWorkFactor bounds the drawn work of a request to this many means.
const maxWorkFactor = 5

// draw makes the next request of an arrival. Only the scheduling goroutine
// calls it, so that a seed gives the same requests each time.
func (c *caller) draw(from *arrival, due time.Time, random *rand.Rand) request {
	factor := min(random.ExpFloat64(), maxWorkFactor)
	return request{
		id:        newRequestID(time.Now(), random),
		service:   from.service.Name,
		operation: from.operation,
		key:       from.keys.next(),
		work:      time.Duration(factor * float64(from.operation.Work)),
		due:       due,
	}
}

// perform sends a request, and sends it again with the same id as often as
// the settings say until it is answered.
func (c *caller) perform(request request) {
	turn := int(c.turn.Add(1))
	var entry ledger.CallerEntry
	for attempt := 0; attempt <= c.config.Resends; attempt++ {
		router := c.config.Routers[(turn+attempt)%len(c.config.Routers)]
		retryAfter := time.Duration(0)
		entry, retryAfter = c.attempt(request, router, attempt)
		c.ledger.Append(entry)
		c.summary.attempt(entry)
		if c.config.OnAttempt != nil {
			c.config.OnAttempt(entry)
		}
		if entry.Outcome == wire.OutcomeAnswered || attempt == c.config.Resends {
			break
		}
		time.Sleep(retryAfter)
	}
	c.summary.finish(entry)
}

// maxRetryAfter bounds how long a caller waits before it sends again.
const maxRetryAfter = 2 * time.Second

func (c *caller) attempt(request request, router string, number int) (ledger.CallerEntry, time.Duration) {
	entry := ledger.CallerEntry{
		Due:           request.due.UnixNano(),
		RequestID:     request.id,
		Attempt:       number,
		Router:        router,
		Service:       request.service,
		Operation:     request.operation.Name,
		Key:           request.key,
		NonRepeatable: request.operation.NonRepeatable,
		Bulk:          request.operation.Bulk,
		Sent:          time.Now().UnixNano(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), request.operation.Deadline)
	defer cancel()
	retryAfter := c.exchange(ctx, request, router, &entry)
	entry.Done = time.Now().UnixNano()
	return entry, retryAfter
}

// exchange sends one attempt and fills in what came of it.
func (c *caller) exchange(ctx context.Context, request request, router string, entry *ledger.CallerEntry) time.Duration {
	message, err := c.message(ctx, request, router)
	if err != nil {
		entry.Outcome, entry.Error = wire.OutcomeNotRun, err.Error()
		return 0
	}
	response, err := c.transport.RoundTrip(message)
	if err != nil {
		entry.Outcome, entry.Error = outcomeOf(err), err.Error()
		return 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	entry.Status = response.StatusCode
	entry.Reason = wire.Reason(response.Header.Get(wire.HeaderReason))
	if err != nil {
		entry.Outcome, entry.Error = wire.OutcomeUnknown, err.Error()
		return 0
	}
	c.judge(request, response, body, entry)
	return retryAfter(response)
}

func (c *caller) message(ctx context.Context, request request, router string) (*http.Request, error) {
	operation := request.operation
	url := fmt.Sprintf("http://%s/%s/%s/%s?work=%s&bytes=%d&pace=%s",
		router, request.service, operation.Name, request.key, request.work, operation.AnswerBytes, operation.Pace)
	message, err := http.NewRequestWithContext(ctx, operation.Method, url,
		unreplayable{bytes.NewReader(make([]byte, operation.RequestBytes))})
	if err != nil {
		return nil, err
	}
	message.ContentLength = int64(operation.RequestBytes)
	header := message.Header
	header.Set(wire.HeaderRequestID, request.id)
	header.Set(wire.HeaderCaller, c.config.Caller)
	header.Set(wire.HeaderDeadline, strconv.FormatInt(operation.Deadline.Milliseconds(), 10))
	if operation.NonRepeatable {
		header.Set(wire.HeaderNonRepeatable, "true")
	}
	return message, nil
}

// unreplayable is a body that the client library can't rewind, so that it never
// sends a request again by itself: the ledger would show one attempt of two.
type unreplayable struct{ io.Reader }

// outcomeOf says what a client error proves: a refused connection is proof
// that the request was not sent.
func outcomeOf(err error) wire.Outcome {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return wire.OutcomeNotRun
	}
	return wire.OutcomeUnknown
}

// judge takes over the outcome that an answer states and checks its body.
func (c *caller) judge(request request, response *http.Response, body []byte, entry *ledger.CallerEntry) {
	outcome := wire.Outcome(response.Header.Get(wire.HeaderOutcome))
	switch {
	case c.config.Direct:
		outcome = wire.OutcomeAnswered
	case outcome == "":
		outcome = wire.OutcomeUnknown
		entry.Damage = "answer without outcome"
	}
	entry.Outcome = outcome
	if outcome != wire.OutcomeAnswered || response.StatusCode != http.StatusOK {
		return
	}
	if err := answer.Check(body, request.id, request.key); err != nil {
		entry.Damage = err.Error()
	}
}

func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}
