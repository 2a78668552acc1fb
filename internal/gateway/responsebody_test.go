package gateway

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A response body above the limit is an error, also if its length is not stated: a truncated body
// must not pass for the whole.
func TestResponseBodyAboveLimitIsRejected(t *testing.T) {
	const limit = 1000
	for _, stated := range []bool{true, false} {
		for _, length := range []int{0, limit, limit + 1, 3 * limit} {
			response := &http.Response{ContentLength: -1, Body: io.NopCloser(strings.NewReader(strings.Repeat("x", length)))}
			if stated {
				response.ContentLength = int64(length)
			}
			body, err := (&bufferedBytes{}).readBody(response, limit)
			if length > limit {
				assert.ErrorIs(t, err, errInvalidResponse)
				continue
			}
			assert.NilError(t, err)
			assert.Equal(t, len(body), length)
		}
	}
}

// endlessBody is a body without end. It records the most that was buffered of all bodies at a time.
type endlessBody struct {
	held *bufferedBytes
	most *atomic.Int64
}

func (b endlessBody) Read(buffer []byte) (int, error) {
	for held, most := b.held.count.Load(), b.most.Load(); held > most; most = b.most.Load() {
		b.most.CompareAndSwap(most, held)
	}
	return len(buffer), nil
}

// Back ends that send bytes without end must not use up the memory of the gateway, however many
// requests they are answering. Other responses are still read, also while the memory is full.
func TestBodiesWithoutEndAreGivenUpWhenMemoryIsFull(t *testing.T) {
	const bound, atOnce = 8 << 20, 20
	held := &bufferedBytes{limit: bound}
	var all sync.WaitGroup
	var most atomic.Int64
	for range atOnce {
		all.Go(func() {
			response := &http.Response{ContentLength: -1, Body: io.NopCloser(endlessBody{held, &most})}
			_, err := held.readBody(response, maxResponseBody)
			assert.Check(t, err != nil)
		})
	}
	all.Wait()
	assert.Assert(t, most.Load() < 2*bound, "%d bytes were buffered", most.Load())
	assert.Equal(t, held.count.Load(), int64(0))

	held.add(bound)
	body, err := held.readBody(&http.Response{ContentLength: -1, Body: io.NopCloser(strings.NewReader("whole"))}, maxResponseBody)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "whole")
}

// Back ends that state large bodies must not use up the memory of the gateway either, however many
// requests they are answering. A single body may be larger than the limit.
func TestStatedBodiesAreNotReadWithoutMemory(t *testing.T) {
	const bound, atOnce, length = 8 << 20, 20, 4 << 20
	held := &bufferedBytes{limit: bound}
	var all sync.WaitGroup
	var most atomic.Int64
	for range atOnce {
		all.Go(func() {
			source := io.LimitReader(endlessBody{held, &most}, length)
			slow := readerFunc(func(buffer []byte) (int, error) {
				time.Sleep(time.Millisecond)
				return source.Read(buffer[:min(len(buffer), length/8)])
			})
			_, _ = held.readBody(&http.Response{ContentLength: length, Body: io.NopCloser(slow)}, maxResponseBody)
		})
	}
	all.Wait()
	assert.Assert(t, most.Load() <= (maxStatedRatio+1)*bound, "%d bytes were buffered", most.Load())
	assert.Equal(t, held.count.Load(), int64(0))
	alone := &http.Response{ContentLength: 3 * bound, Body: io.NopCloser(io.LimitReader(endlessBody{held, &most}, 3*bound))}
	body, err := held.readBody(alone, maxResponseBody)
	assert.NilError(t, err)
	assert.Equal(t, len(body), 3*bound)
}

// readerFunc is an io.Reader that is a function.
type readerFunc func(buffer []byte) (int, error)

func (f readerFunc) Read(buffer []byte) (int, error) { return f(buffer) }
