package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/steady"
)

// slowLink is a simulated link that sends what is written to it at a fixed rate and in
// order.
type slowLink struct {
	rate   float64
	mutex  sync.Mutex
	idleAt time.Time
	// maxQueue is the longest time that anything had to wait in the link.
	maxQueue time.Duration
}

func (l *slowLink) send(bytes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := steady.Reading()
	if l.idleAt.Before(now) {
		l.idleAt = now
	}
	l.maxQueue = max(l.maxQueue, l.idleAt.Sub(now))
	l.idleAt = l.idleAt.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
}

// linkWriter is an http.ResponseWriter that writes to a slowLink.
type linkWriter struct {
	*httptest.ResponseRecorder
	link *slowLink
}

func (w *linkWriter) Write(body []byte) (int, error) {
	w.link.send(len(body))
	return w.ResponseRecorder.Write(body)
}

// writePaced writes a body of some length once its turn on the link has come, and reports whether all
// of it was written.
func writePaced(ctx context.Context, pacer *linkPacer, w http.ResponseWriter, length int) (whole bool) {
	body, err := pacer.begin(ctx, length)
	if err != nil {
		return false
	}
	defer body.end()
	return body.write(ctx, w, make([]byte, length))
}

// copyPaced writes a body from a source once its turn on the link has come.
func copyPaced(pacer *linkPacer, w http.ResponseWriter, source io.Reader, length int) error {
	body, err := pacer.begin(context.Background(), length)
	if err != nil {
		return err
	}
	defer body.end()
	return body.copy(context.Background(), w, source)
}

// slowLinkRate is the link rate of the users' small machines, in bytes a second.
const slowLinkRate = 1.05e6

// Many concurrent large responses leave the link free for small ones, use nearly all of its
// rate, and arrive completely.
func TestLargeResponsesLeaveLinkFreeForSmallOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const responses, size = 40, 90_000
		link := &slowLink{rate: slowLinkRate}
		pacer := newLinkPacer(slowLinkRate)
		began := steady.Reading()
		var all sync.WaitGroup
		for range responses {
			all.Go(func() {
				w := &linkWriter{httptest.NewRecorder(), link}
				writePaced(t.Context(), pacer, w, size)
				assert.Check(t, w.Body.Len() == size)
			})
		}
		synctest.Wait()
		assert.Assert(t, pacer.backlog() > 3*time.Second, "%v", pacer.backlog())
		all.Wait()
		took := steady.Elapsed(began).Seconds()
		assert.Assert(t, link.maxQueue < 100*time.Millisecond, "a small response would wait %v", link.maxQueue)
		assert.Assert(t, took < responses*size/slowLinkRate*1.1, "%.1f s", took)
		assert.Assert(t, pacer.backlog() < 100*time.Millisecond)
	})
}

// Large responses are sent one after the other: half of them are complete in about half of
// the time.
func TestLargeResponsesAreSentOneAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const responses, size = 20, 90_000
		link := &slowLink{rate: slowLinkRate}
		pacer := newLinkPacer(slowLinkRate)
		finished := make(chan struct{}, responses)
		began := steady.Reading()
		for range responses {
			go func() {
				writePaced(t.Context(), pacer, &linkWriter{httptest.NewRecorder(), link}, size)
				finished <- struct{}{}
			}()
		}
		for range responses / 2 {
			<-finished
		}
		assert.Assert(t, steady.Elapsed(began).Seconds() < 0.6*responses*size/slowLinkRate*1.1)
		synctest.Wait()
		for range responses / 2 {
			<-finished
		}
	})
}

// stalledWriter is an http.ResponseWriter whose reader reads nothing until it leaves.
type stalledWriter struct {
	*httptest.ResponseRecorder
	left <-chan struct{}
}

func (w stalledWriter) Write([]byte) (int, error) {
	<-w.left
	return 0, net.ErrClosed
}

// stalledSource is a body of which nothing arrives until its sender is given up.
type stalledSource struct{ givenUp <-chan struct{} }

func (s stalledSource) Read([]byte) (int, error) {
	<-s.givenUp
	return 0, net.ErrClosed
}

// Large responses whose readers read nothing, or whose sender has stopped in their middle, must not
// keep those of other callers from the link.
func TestStalledLargeResponsesDoNotHoldUpOthers(t *testing.T) {
	const stalled, responses, size = 200, 20, 90_000
	for name, stall := range map[string]func(*linkPacer, <-chan struct{}) error{
		"readers": func(pacer *linkPacer, left <-chan struct{}) error {
			return copyPaced(pacer, stalledWriter{httptest.NewRecorder(), left}, bytes.NewReader(make([]byte, size)), size)
		},
		"senders": func(pacer *linkPacer, left <-chan struct{}) error {
			return copyPaced(pacer, httptest.NewRecorder(), stalledSource{left}, size)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				link := &slowLink{rate: slowLinkRate}
				pacer := newLinkPacer(slowLinkRate)
				left := make(chan struct{})
				var all, others sync.WaitGroup
				for range stalled {
					all.Go(func() { assert.Check(t, stall(pacer, left) != nil) })
				}
				time.Sleep(20 * time.Second) // longer than the link takes for all of them
				began := steady.Reading()
				for range responses {
					others.Go(func() {
						w := &linkWriter{httptest.NewRecorder(), link}
						assert.Check(t, writePaced(t.Context(), pacer, w, size))
					})
				}
				ended := make(chan struct{})
				go func() { others.Wait(); close(ended) }()
				select {
				case <-ended:
				case <-time.After(time.Minute):
					t.Error("responses were not written although the link is idle")
				}
				took := steady.Elapsed(began).Seconds()
				assert.Check(t, took < responses*size/slowLinkRate*1.1, "%.1f s", took)
				close(left)
				all.Wait()
				others.Wait()
			})
		})
	}
}

// An answer for which the link is not free by the request's deadline must not keep its caller waiting:
// the caller gets a failure then.
func TestAnswerThatWaitsForTheLinkEndsAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, before, timeout = 90_000, 10, 100 * time.Millisecond
		g := &Gateway{pacer: newLinkPacer(slowLinkRate), metrics: newGatewayMetrics(prometheus.NewRegistry())}
		var others sync.WaitGroup
		for range before {
			others.Go(func() { assert.Check(t, writePaced(t.Context(), g.pacer, httptest.NewRecorder(), size)) })
		}
		synctest.Wait()
		began := steady.Reading()
		answered := &forwardResult{Outcome: outcomeAnswered, Status: http.StatusOK, Body: make([]byte, size)}
		body, result := g.beginAnswer(t.Context(), began.Add(timeout), answered)
		body.end()
		assert.Equal(t, result.Outcome, outcomeUnknown)
		assert.Equal(t, result.Reason, reasonTimeout)
		assert.Equal(t, steady.Elapsed(began), timeout)
		others.Wait()
		body, result = g.beginAnswer(t.Context(), steady.Reading().Add(timeout), answered)
		assert.Equal(t, result, answered)
		body.end()
	})
}

// Readers that read nothing keep coming, faster than they are found to have stalled. On a link that is
// idle the responses to other callers must still be written at once.
func TestStreamOfStalledReadersDoesNotHoldUpOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const fastLinkRate, size = 125e6, 90_000
		const responses, pause, patience = 300, 10 * time.Millisecond, 500 * time.Millisecond
		pacer := newLinkPacer(fastLinkRate)
		left := make(chan struct{})
		var all sync.WaitGroup
		for range responses {
			all.Go(func() {
				source := bytes.NewReader(make([]byte, size))
				assert.Check(t, copyPaced(pacer, stalledWriter{httptest.NewRecorder(), left}, source, size) != nil)
			})
			all.Go(func() {
				began := steady.Reading()
				assert.Check(t, writePaced(t.Context(), pacer, httptest.NewRecorder(), size))
				assert.Check(t, steady.Elapsed(began) < patience, "written after %v", steady.Elapsed(began))
			})
			time.Sleep(pause)
		}
		time.Sleep(patience)
		close(left)
		all.Wait()
	})
}

// A response to a caller that has disconnected uses no more of the link.
func TestResponseToDisconnectedCallerIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := &slowLink{rate: slowLinkRate}
		pacer := newLinkPacer(slowLinkRate)
		ctx, cancel := context.WithCancel(t.Context())
		w := &linkWriter{httptest.NewRecorder(), link}
		go func() {
			time.Sleep(50 * time.Millisecond)
			cancel()
		}()
		writePaced(ctx, pacer, w, 1<<20)
		assert.Assert(t, w.Body.Len() < 200<<10, "%d bytes", w.Body.Len())
		time.Sleep(time.Second)
		assert.Equal(t, pacer.backlog(), time.Duration(0))
	})
}

func TestLinkOfUnknownRateIsNotPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pacer := newLinkPacer(0)
		began := steady.Reading()
		w := httptest.NewRecorder()
		writePaced(t.Context(), pacer, w, 10<<20)
		assert.Equal(t, w.Body.Len(), 10<<20)
		assert.Equal(t, steady.Elapsed(began), time.Duration(0))
	})
}
