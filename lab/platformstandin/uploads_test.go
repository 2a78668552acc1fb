package platformstandin

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/lab/pause"
)

// uploadSize is the size of a body, which the configuration allows.
const uploadSize = 40 << 20

// Many large bodies that arrive at once ended a gateway: together they exceed its memory. Those beyond
// the bound are refused, and requests without a body are served meanwhile.
func TestLargeBodiesStayWithinTheMemory(t *testing.T) {
	for _, count := range []int{8, 80} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			r := newRig(t)
			served, refused := r.uploadAtOnce(r.Sides[:2], count)
			t.Logf("%d uploads served, %d refused", served, refused)
			assert.Assert(t, served > 0)
			for _, side := range r.Sides {
				t.Logf("%s used %d MiB at most", side.Name, r.PeakMemory(side)>>20)
				assert.Assert(t, !side.hasEnded())
				assert.Assert(t, r.PeakMemory(side) < MemoryLimit, "%s used %d MiB", side.Name, r.PeakMemory(side)>>20)
			}
			r.waitServed(r.Sides[0])
			r.checkPromises()
		})
	}
}

// uploadAtOnce sends a number of uploads to each machine at the same time, and requests without a
// body until they have ended.
func (r *rig) uploadAtOnce(sides []*Machine, count int) (served, refused int64) {
	var servedCount, refusedCount atomic.Int64
	body := strings.Repeat("x", uploadSize)
	var uploads, others sync.WaitGroup
	ended := make(chan struct{})
	for _, side := range sides {
		others.Go(func() { r.sendWithoutBody(side, ended) })
		for number := range count {
			uploads.Go(func() {
				answer, err := side.Call(r.ctx, http.MethodPost, "a.example", "/p/x", fmt.Sprintf("upload-%s-%d", side.Name, number), "", body)
				switch {
				case err == nil && answer.Status == http.StatusOK:
					servedCount.Add(1)
				case err == nil && answer.Status == http.StatusServiceUnavailable && answer.Header.Get("Retry-After") != "":
					refusedCount.Add(1)
				default:
					r.t.Logf("upload: %d %s %v", answer.Status, answer.Body, err)
				}
			})
		}
	}
	uploads.Wait()
	close(ended)
	others.Wait()
	return servedCount.Load(), refusedCount.Load()
}

// sendWithoutBody sends requests without a body to a machine until a channel is closed.
func (r *rig) sendWithoutBody(side *Machine, ended <-chan struct{}) {
	const requestPause = 20 * time.Millisecond
	for number := 0; pause.For(r.ctx, requestPause) == nil; number++ {
		answer, err := side.Call(r.ctx, http.MethodGet, "a.example", "/p/x", fmt.Sprintf("small-%s-%d", side.Name, number), "", "")
		if assert.Check(r.t, err) {
			assert.Check(r.t, answer.Status == http.StatusOK, "%d %s", answer.Status, answer.Body)
		}
		select {
		case <-ended:
			return
		default:
		}
	}
}
