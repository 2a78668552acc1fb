package backend

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/backendapi"
	"github.com/quartzdock/quartzdock/internal/upstream"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// TestOperatorsCheck takes the stand-in through the steps of the operators'
// page docs/operators/backends.md.
func TestOperatorsCheck(t *testing.T) {
	started, err := Start(Config{Name: "one", Listen: "127.0.0.1:0", Slots: 4})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer func() { cancel(); _ = started.Stop(ctx) }()
	pool, err := upstream.New(upstream.Config{Address: started.Address()})
	assert.NilError(t, err)
	defer pool.Close()
	client := backendapi.New(pool, started.Address())
	grant := func(message backendapi.Grants) (backendapi.Reading, error) { return client.Grant(ctx, message) }
	send := func(method, path, shard, epoch string) int {
		request, err := http.NewRequest(method, "http://"+started.Address()+path, nil)
		assert.NilError(t, err)
		request.Header.Set(wire.HeaderShard, shard)
		request.Header.Set(wire.HeaderEpoch, epoch)
		response, err := pool.Do(ctx, request)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		return response.StatusCode
	}

	reading, err := grant(backendapi.Grants{})
	assert.NilError(t, err)
	assert.Assert(t, reading.Boot != "")
	message := backendapi.Grants{Boot: reading.Boot, ValidUntilMilliseconds: reading.ClockMilliseconds + 2000,
		Sequence: 1, Grants: []backendapi.Grant{{Shard: "1/2", Epoch: 3}}}
	_, err = grant(message)
	assert.NilError(t, err)
	assert.Equal(t, send(http.MethodGet, "/s/o/k", "1/2", "3"), http.StatusOK)
	assert.Equal(t, send(http.MethodGet, "/s/o/k", "1/2", "2"), http.StatusPreconditionFailed)
	assert.Equal(t, send(http.MethodGet, "/s/o/k", "1/9", "3"), http.StatusPreconditionFailed)

	_, err = grant(message)
	assert.ErrorIs(t, err, backendapi.ErrStaleMessage)
	lowered := message
	lowered.Sequence, lowered.Grants = 2, []backendapi.Grant{{Shard: "1/2", Epoch: 2}}
	_, err = grant(lowered)
	var lower *backendapi.LowerEpochError
	assert.Assert(t, errors.As(err, &lower))
	assert.Equal(t, lower.Highest, message.Grants[0].Epoch)
	old := message
	old.Boot, old.Sequence = "an earlier start", 3
	_, err = grant(old)
	assert.ErrorIs(t, err, backendapi.ErrRestarted)

	ending := message
	reading, err = grant(backendapi.Grants{Boot: reading.Boot, Sequence: 4, ValidUntilMilliseconds: message.ValidUntilMilliseconds})
	assert.NilError(t, err)
	ending.Sequence, ending.ValidUntilMilliseconds = 5, reading.ClockMilliseconds+100
	_, err = grant(ending)
	assert.NilError(t, err)
	assert.Equal(t, send(http.MethodPost, "/s/o/k?work=200ms", "1/2", "3"), http.StatusConflict, "ran, nothing kept")
	assert.Equal(t, send(http.MethodGet, "/s/o/k", "1/2", "3"), http.StatusPreconditionFailed, "the grants have ended")

	given, giveUp := context.WithTimeout(ctx, 50*time.Millisecond)
	defer giveUp()
	ending.Sequence, ending.ValidUntilMilliseconds = 6, reading.ClockMilliseconds+60_000
	_, err = grant(ending)
	assert.NilError(t, err)
	request, err := http.NewRequest(http.MethodGet, "http://"+started.Address()+"/s/o/k?work=1h", nil)
	assert.NilError(t, err)
	request.Header.Set(wire.HeaderShard, "1/2")
	request.Header.Set(wire.HeaderEpoch, "3")
	_, err = pool.Do(given, request)
	assert.ErrorIs(t, err, upstream.ErrInterrupted)
	for started.running.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}
