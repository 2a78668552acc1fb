package gateway

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/steady"
)

// narrowLink sends what is written to it at a rate, one after the other, and notes
// when each writer's body was through.
type narrowLink struct {
	rate  float64
	mutex sync.Mutex
	free  time.Time
	// deepest is the longest time that anything had to wait in the link.
	deepest time.Duration
}

func (l *narrowLink) send(bytes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := steady.Reading()
	if l.free.Before(now) {
		l.free = now
	}
	l.deepest = max(l.deepest, l.free.Sub(now))
	l.free = l.free.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
}

// linkWriter is a response that goes over a link.
type linkWriter struct {
	*httptest.ResponseRecorder
	link *narrowLink
}

func (w *linkWriter) Write(body []byte) (int, error) {
	w.link.send(len(body))
	return w.ResponseRecorder.Write(body)
}

// The users' small machines.
const narrowRate = 1.05e6

// Many large answers at once leave the link free for small ones, use nearly all of
// it, and come whole.
func TestLargeAnswersLeaveTheLinkFreeForSmallOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const answers, size = 40, 90_000
		link := &narrowLink{rate: narrowRate}
		pacer := newLinkPacer(narrowRate)
		began := steady.Reading()
		var all sync.WaitGroup
		for range answers {
			all.Go(func() {
				w := &linkWriter{httptest.NewRecorder(), link}
				pacer.write(t.Context(), w, make([]byte, size))
				assert.Check(t, w.Body.Len() == size)
			})
		}
		synctest.Wait()
		assert.Assert(t, pacer.backlog() > 3*time.Second, "%v", pacer.backlog())
		all.Wait()
		took := steady.Elapsed(began).Seconds()
		assert.Assert(t, link.deepest < 100*time.Millisecond, "a small answer would wait %v", link.deepest)
		assert.Assert(t, took < answers*size/narrowRate*1.1, "%.1f s", took)
		assert.Assert(t, pacer.backlog() < 100*time.Millisecond)
	})
}

// One after the other, half of them are through in half of the time.
func TestLargeAnswersGoOneAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const answers, size = 20, 90_000
		link := &narrowLink{rate: narrowRate}
		pacer := newLinkPacer(narrowRate)
		ended := make(chan struct{}, answers)
		began := steady.Reading()
		for range answers {
			go func() {
				pacer.write(t.Context(), &linkWriter{httptest.NewRecorder(), link}, make([]byte, size))
				ended <- struct{}{}
			}()
		}
		for range answers / 2 {
			<-ended
		}
		assert.Assert(t, steady.Elapsed(began).Seconds() < 0.6*answers*size/narrowRate*1.1)
		synctest.Wait()
		for range answers / 2 {
			<-ended
		}
	})
}

// A caller that has left takes nothing of the link.
func TestAnAnswerForNobodyIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := &narrowLink{rate: narrowRate}
		pacer := newLinkPacer(narrowRate)
		ctx, leave := context.WithCancel(t.Context())
		w := &linkWriter{httptest.NewRecorder(), link}
		go func() {
			time.Sleep(50 * time.Millisecond)
			leave()
		}()
		pacer.write(ctx, w, make([]byte, 1<<20))
		assert.Assert(t, w.Body.Len() < 200<<10, "%d bytes", w.Body.Len())
		time.Sleep(time.Second)
		assert.Equal(t, pacer.backlog(), time.Duration(0))
	})
}

func TestAnUnknownLinkIsNotPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pacer := newLinkPacer(0)
		began := steady.Reading()
		w := httptest.NewRecorder()
		pacer.write(t.Context(), w, make([]byte, 10<<20))
		assert.Equal(t, w.Body.Len(), 10<<20)
		assert.Equal(t, steady.Elapsed(began), time.Duration(0))
	})
}
