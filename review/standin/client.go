package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// attempt is one request of a client and its answer.
type attempt struct {
	id string
	// at is the machine that took it.
	at     *machine
	sent   time.Time
	status int
	err    error
	seal   string
	body   string
	// inTouch says whether the machine was in touch when the request was sent.
	inTouch bool
}

// clients sends the requests of all clients and keeps their answers.
type clients struct {
	fleet    *fleet
	mutex    sync.Mutex
	attempts map[string]*attempt
	running  sync.WaitGroup
}

func newClients(f *fleet) *clients { return &clients{fleet: f, attempts: map[string]*attempt{}} }

// requestKind is what a client sends.
type requestKind struct {
	method, host, path, body string
	keyed                    bool
	deadline                 time.Duration
}

// send sends one request to a machine and records its answer.
func (c *clients) send(m *machine, kind requestKind) *attempt {
	a := &attempt{id: fmt.Sprintf("%016x", rand.Uint64()), at: m, sent: time.Now()}
	a.inTouch = m.inTouch(a.sent)
	c.mutex.Lock()
	c.attempts[a.id] = a
	c.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), kind.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, kind.method, "http://"+m.outbound()+kind.path, strings.NewReader(kind.body))
	if err != nil {
		a.err = err
		return a
	}
	request.GetBody = nil // it is sent once
	request.Host = kind.host
	request.Header.Set("Request-Id", a.id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(kind.deadline.Milliseconds(), 10))
	if kind.keyed {
		request.Header.Set("Shard-Key", strconv.Itoa(rand.IntN(65536)))
	}
	c.fleet.record.add("client", "sends %s to %s", a.id, m.name)
	response, err := m.client.Do(request)
	var content []byte
	if err == nil {
		content, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.seal = response.StatusCode, response.Header.Get("Response-Seal")
	}
	a.err, a.body = err, string(content)
	c.fleet.record.add("client", "%s: status %d, seal %q, error %v", a.id, a.status, a.seal, err)
	return a
}

// stream sends requests at a rate until the context ends, each to one of the machines that are in.
func (c *clients) stream(ctx context.Context, perSecond float64, kind requestKind) {
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		for ctx.Err() == nil {
			time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
			var in []*machine
			for _, m := range c.fleet.sides {
				if m.in.Load() {
					in = append(in, m)
				}
			}
			if len(in) < len(c.fleet.sides)/2 {
				in = c.fleet.sides // readiness does not matter while fewer than half are in
			}
			m := in[rand.IntN(len(in))]
			c.running.Add(1)
			go func() {
				defer c.running.Done()
				c.send(m, kind)
			}()
		}
	}()
}

// of returns the attempt with an id, or nil.
func (c *clients) of(id string) *attempt {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.attempts[id]
}

// all returns all attempts.
func (c *clients) all() []*attempt {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var all []*attempt
	for _, a := range c.attempts {
		all = append(all, a)
	}
	return all
}
