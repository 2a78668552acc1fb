package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/steady"
)

// slowRuns is a back end whose runs take a random part of their deadline, or longer than it, and
// whose answers have various sizes. It records which requests it has run.
type slowRuns struct {
	mutex  sync.Mutex
	random *rand.Rand
	ran    map[string]bool
}

// plan returns how long a run takes and how long its answer is.
func (b *slowRuns) plan(id string, deadline time.Duration) (took time.Duration, bytes int) {
	const longest = 1.2 // of the deadline
	sizes := []int{5, 5, 5, 90_000}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ran[id] = true
	return time.Duration(longest * b.random.Float64() * float64(deadline)), sizes[b.random.IntN(len(sizes))]
}

// ServeHTTP implements http.Handler.
func (b *slowRuns) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	milliseconds, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	took, size := b.plan(r.Header.Get("Try-Name"), time.Duration(milliseconds)*time.Millisecond)
	select {
	case <-time.After(took):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Try-Name", r.Header.Get("Try-Name"))
	w.Header().Set("Seal", "x")
	_, _ = w.Write(make([]byte, size))
}

// lateCaller sends requests one after the other, each on the connection of the one before while that
// is open, until connections are refused.
type lateCaller struct {
	name    string
	address string
	random  *rand.Rand
	// unanswered are the requests whose connection ended without a complete answer.
	unanswered []string
}

func (c *lateCaller) run(t *testing.T) {
	var conn net.Conn
	var reader *bufio.Reader
	for number := 0; ; number++ {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", c.address); err != nil {
				return
			}
			reader = bufio.NewReader(conn)
		}
		id := fmt.Sprint(c.name, "-", number)
		open, answered := c.send(conn, reader, id)
		if !answered {
			c.unanswered = append(c.unanswered, id)
		}
		if !open {
			assert.Check(t, conn.Close())
			conn = nil
		}
		time.Sleep(time.Duration(c.random.IntN(40)) * time.Millisecond)
	}
}

// send sends one request that must not be repeated, and reads its answer.
func (c *lateCaller) send(conn net.Conn, reader *bufio.Reader, id string) (open, answered bool) {
	const shortest, spread = 200, 2000 // milliseconds
	var request bytes.Buffer
	fmt.Fprintf(&request, "POST /a/b HTTP/1.1\r\nHost: h\r\nTry-Name: %s\r\nWait-Ms: %d\r\nContent-Length: 4\r\n\r\nbody", id, shortest+c.random.IntN(spread))
	if _, err := conn.Write(request.Bytes()); err != nil {
		return false, false
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false, false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && !response.Close, err == nil
}

// Requests that come at any time of a planned stop, also late in it, must not be passed on and then
// cut off at its end: callers would not know whether they have run.
func TestRequestsLateInAPlannedStopAreAnswered(t *testing.T) {
	t.Parallel()
	const callers = 24
	for name, entered := range map[string]func(*twoHops) (*Gateway, string){
		"at the callers' gateway":   func(h *twoHops) (*Gateway, string) { return h.near, h.caller },
		"at the back end's gateway": func(h *twoHops) (*Gateway, string) { return h.far, h.farCaller },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := &slowRuns{random: rand.New(rand.NewPCG(7, 1)), ran: map[string]bool{}}
			hops := startTwoHops(t, twoHopsConfig{timeout: 1500 * time.Millisecond, stop: 5 * time.Second}, backend)
			stopping, address := entered(hops)
			const linkRate = 3e5 // bytes a second, so that answers wait for the link
			stopping.pacer = newLinkPacer(linkRate)
			var all sync.WaitGroup
			senders := make([]*lateCaller, callers)
			for i := range senders {
				senders[i] = &lateCaller{name: fmt.Sprint("c", i), address: address, random: rand.New(rand.NewPCG(7, uint64(i)))}
				all.Go(func() { senders[i].run(t) })
			}
			time.Sleep(300 * time.Millisecond)
			began := steady.Reading()
			assert.Check(t, stopping.Stop())
			t.Logf("the stop took %v, %d requests ran", steady.Elapsed(began), len(backend.ran))
			all.Wait()
			for _, sender := range senders {
				for _, id := range sender.unanswered {
					assert.Check(t, !backend.ran[id], "request %s has run and has no answer", id)
				}
			}
		})
	}
}
