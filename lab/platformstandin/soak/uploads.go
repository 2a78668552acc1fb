package soak

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/lab/platformstandin"
)

// LargeBodies sends a gateway many large bodies at once.
const LargeBodies Kind = "large-bodies"

const (
	// uploadStream keeps the draw of this kind apart from that of other strikes.
	uploadStream = 0xb0d1
	// uploadPause is the mean pause between two such strikes.
	uploadPause = 5 * time.Second
	// fewestUploads and mostUploads bound the bodies of a strike. Their sizes are between
	// leastUpload and mostUpload, which is within the configuration's limit.
	fewestUploads = 6
	mostUploads   = 24
	leastUpload   = 1 << 20
	mostUpload    = 48 << 20
)

// drawUploads returns the strikes of a seed of this kind.
func drawUploads(seed uint64, duration time.Duration) []Strike {
	random := rand.New(rand.NewPCG(seed, uploadStream))
	return drawStrikes(random, firstStrike, duration, uploadPause, func(at time.Duration) Strike {
		return Strike{Kind: LargeBodies, At: at, Target: random.IntN(1 << 16), Rounds: fewestUploads + random.IntN(mostUploads-fewestUploads)}
	})
}

// sendUploads does one strike of this kind.
func (f *fleet) sendUploads(strike Strike) {
	random := rand.New(rand.NewPCG(uint64(strike.At), uint64(strike.Target)))
	gateway := f.gateways[strike.Target%len(f.gateways)].machine
	body := strings.Repeat("x", mostUpload)
	var all sync.WaitGroup
	for range strike.Rounds {
		size := leastUpload + random.IntN(mostUpload-leastUpload)
		path, key := plainPath, ""
		if random.IntN(2) == 0 {
			path, key = oncePath, drawKey(random)
		}
		all.Go(func() {
			id, sent := f.callers.next(), time.Now()
			answer, err := gateway.CallReady(f.ctx, http.MethodPost, host, path, id, key, body[:size], 0, nil)
			if f.ctx.Err() == nil && answer.Status != 0 {
				f.callers.took(gateway, id, sent, answer, err)
			}
		})
	}
	all.Wait()
}

// checkMemory notes the machines whose processes have exceeded their memory.
func (f *fleet) checkMemory() {
	for _, gateway := range f.gateways {
		if used := f.PeakMemory(gateway.machine); used > platformstandin.MemoryLimit {
			f.Ledger.Broken("memory: %s used %d MiB of %d", gateway.machine.Name, used>>20, platformstandin.MemoryLimit>>20)
		}
	}
}
