package backend_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quartzdock/quartzdock/internal/wire"
	"github.com/quartzdock/quartzdock/lab/answer"
	"github.com/quartzdock/quartzdock/lab/backend"
	"github.com/quartzdock/quartzdock/lab/ledger"
)

type standIn struct {
	*backend.Backend
	ledger string
}

func start(t *testing.T, config backend.Config) standIn {
	t.Helper()
	config.Name = "one"
	config.Listen = "127.0.0.1:0"
	config.Ledger = filepath.Join(t.TempDir(), "one.jsonl")
	if config.Slots == 0 {
		config.Slots = 2
	}
	started, err := backend.Start(config)
	assert.NilError(t, err)
	t.Cleanup(func() { started.Stop(context.Background()) })
	return standIn{Backend: started, ledger: config.Ledger}
}

func (s standIn) call(t *testing.T, method, path, body string, headers ...string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+s.Address()+path, bytes.NewBufferString(body))
	assert.NilError(t, err)
	for index := 0; index < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(content)
}

func (s standIn) grant(t *testing.T, epoch int, lease time.Duration) int {
	t.Helper()
	status, _ := s.call(t, "PUT", "/_quartzdock/grants", fmt.Sprintf(
		`{"backend":1,"lease_ms":%d,"grants":[{"shard":"1/1","epoch":%d}]}`, lease.Milliseconds(), epoch))
	return status
}

func (s standIn) kinds(t *testing.T) []ledger.Kind {
	t.Helper()
	entries, err := ledger.ReadBackends(s.ledger)
	assert.NilError(t, err)
	var kinds []ledger.Kind
	for _, entry := range entries {
		kinds = append(kinds, entry.Kind)
	}
	return kinds
}

func fenced(id string, epoch int) []string {
	return []string{wire.HeaderRequestID, id, wire.HeaderShard, "1/1", wire.HeaderEpoch, fmt.Sprint(epoch)}
}

func TestFenceRefusesWhatIsNotGranted(t *testing.T) {
	s := start(t, backend.Config{})
	status, _ := s.call(t, "POST", "/a/edit/k", "", fenced("r1", 3)...)
	assert.Equal(t, status, http.StatusPreconditionFailed)

	assert.Equal(t, s.grant(t, 3, time.Minute), http.StatusOK)
	status, _ = s.call(t, "POST", "/a/edit/k", "", fenced("r2", 2)...)
	assert.Equal(t, status, http.StatusPreconditionFailed)
	assert.Equal(t, len(s.kinds(t)), 0)

	status, body := s.call(t, "POST", "/a/edit/k", "", fenced("r3", 3)...)
	assert.Equal(t, status, http.StatusOK)
	assert.NilError(t, answer.Check([]byte(body), "r3", "k"))
	assert.DeepEqual(t, s.kinds(t), []ledger.Kind{ledger.KindRun, ledger.KindWrite})

	assert.Equal(t, s.grant(t, 2, time.Minute), http.StatusConflict)
}

func TestWriteIsNotKeptOnceTheLeaseIsOver(t *testing.T) {
	s := start(t, backend.Config{})
	s.grant(t, 1, 200*time.Millisecond)
	status, _ := s.call(t, "POST", "/a/edit/k?work=400ms", "", fenced("r1", 1)...)
	assert.Equal(t, status, http.StatusConflict)
	assert.DeepEqual(t, s.kinds(t), []ledger.Kind{ledger.KindRun, ledger.KindAbandoned})
}

func TestRequestsOverTheSlotsAreShedAndRecorded(t *testing.T) {
	s := start(t, backend.Config{Slots: 1, Unfenced: true})
	var first sync.WaitGroup
	first.Go(func() { s.call(t, "GET", "/a/route/k?work=300ms", "") })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(s.kinds(t)) == 1 {
			return poll.Success()
		}
		return poll.Continue("the first request does not run yet")
	})
	status, _ := s.call(t, "GET", "/a/route/k", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	first.Wait()
	assert.DeepEqual(t, s.kinds(t), []ledger.Kind{ledger.KindRun, ledger.KindOverSlots})
}

func TestDeadlineEndsARun(t *testing.T) {
	s := start(t, backend.Config{Unfenced: true})
	s.call(t, "POST", "/a/edit/k?work=10s", "", wire.HeaderDeadline, "50")
	assert.DeepEqual(t, s.kinds(t), []ledger.Kind{ledger.KindRun, ledger.KindAbandoned})
}

func TestLoadEndpointLiesAsTold(t *testing.T) {
	s := start(t, backend.Config{Slots: 7})
	s.call(t, "PUT", "/_lab/behaviour", `{"claim_busy":0,"fail_requests":true,"report_sick":true}`)
	_, body := s.call(t, "GET", "/_quartzdock/load", "")
	var load struct{ Busy, Slots int }
	assert.NilError(t, json.Unmarshal([]byte(body), &load))
	assert.Equal(t, load.Slots, 7)
	status, _ := s.call(t, "GET", "/_quartzdock/health", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
}

func TestLateGrantDoesNotProlongALease(t *testing.T) {
	s := start(t, backend.Config{})
	_, body := s.call(t, "PUT", "/_quartzdock/grants", `{"backend":1}`)
	var reading struct {
		Boot    string `json:"boot"`
		ClockMS int64  `json:"clock_ms"`
	}
	assert.NilError(t, json.Unmarshal([]byte(body), &reading))
	// A back end that was frozen reads this message long after it was sent.
	ended := fmt.Sprintf(`{"backend":1,"boot":%q,"valid_until_ms":%d,"grants":[{"shard":"1/1","epoch":1}]}`,
		reading.Boot, reading.ClockMS)
	status, _ := s.call(t, "PUT", "/_quartzdock/grants", ended)
	assert.Equal(t, status, http.StatusOK)
	status, _ = s.call(t, "POST", "/a/edit/k", "", fenced("r1", 1)...)
	assert.Equal(t, status, http.StatusPreconditionFailed)

	earlierBoot := `{"backend":1,"boot":"earlier","valid_until_ms":1000000,"grants":[{"shard":"1/1","epoch":1}]}`
	status, _ = s.call(t, "PUT", "/_quartzdock/grants", earlierBoot)
	assert.Equal(t, status, http.StatusPreconditionFailed)
}

func TestOvertakenGrantIsNotTaken(t *testing.T) {
	s := start(t, backend.Config{})
	put := func(rest string) int {
		status, _ := s.call(t, "PUT", "/_quartzdock/grants", `{"backend":1,"lease_ms":60000,`+rest+`}`)
		return status
	}
	assert.Equal(t, put(`"sequence":1,"grants":[{"shard":"1/1","epoch":1}]`), http.StatusOK)
	assert.Equal(t, put(`"sequence":3,"revoked":["1/1"]`), http.StatusOK)
	assert.Equal(t, put(`"sequence":2,"grants":[{"shard":"1/1","epoch":1}]`), http.StatusPreconditionFailed)
	status, _ := s.call(t, "POST", "/a/edit/k", "", fenced("r1", 1)...)
	assert.Equal(t, status, http.StatusPreconditionFailed)

	assert.Equal(t, put(`"sequence":4,"grants":[{"shard":"1/1","epoch":1}]`), http.StatusOK)
	assert.Equal(t, put(`"sequence":5,"replace":true,"grants":[{"shard":"1/2","epoch":1}]`), http.StatusOK)
	status, _ = s.call(t, "POST", "/a/edit/k", "", fenced("r2", 1)...)
	assert.Equal(t, status, http.StatusPreconditionFailed)
}
