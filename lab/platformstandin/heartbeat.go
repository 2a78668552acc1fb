package platformstandin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/quartzdock/quartzdock/lab/pause"
)

const heartbeatInterval = 200 * time.Millisecond

func (i *Instance) beat(ctx context.Context, address string) {
	for ctx.Err() == nil {
		i.mutex.Lock()
		i.sequence++
		state, sequence := i.state, i.sequence
		i.mutex.Unlock()
		if state == "ended" {
			return
		}
		interval := heartbeatInterval
		if sequence%foreignEvery == 0 {
			i.sendForeign(ctx, sequence/foreignEvery)
		}
		if i.ByHeartbeat {
			if i.beatByHeartbeat(ctx, address, state, sequence) {
				interval = hurriedInterval
			}
		} else {
			i.sendBeat(ctx, address, state, sequence)
		}
		if state == "draining" {
			i.said.once.Do(func() { close(i.said.sent) })
		}
		_ = pause.For(ctx, interval)
	}
}

// sendBeat sends one heartbeat.
func (i *Instance) sendBeat(ctx context.Context, address, state string, sequence uint64) {
	body := fmt.Sprintf(`{"address":%q,%s"info":{"service":%q,"version":"v1","zone":"z","slots":%d},"status":{"state":%q,"sequence":%d,"warmupLeft":"%dms"}}`,
		address, i.bornField(), i.Service, i.Slots, state, sequence, i.warmupLeft().Milliseconds())
	ctx, cancel := context.WithTimeout(ctx, acknowledgedWithin)
	defer cancel()
	status, err := post(ctx, "http://"+i.Control+"/instances/"+i.ID+"/heartbeat", body)
	if err == nil && status == http.StatusOK {
		i.heartbeatAcknowledged(state)
	}
}

// heartbeatAcknowledged notes that a heartbeat has been acknowledged that told a state.
func (i *Instance) heartbeatAcknowledged(state string) {
	if state == "draining" {
		i.ledger.departures.note(i.lifeName(), time.Now())
	}
}

// deregistration is the body of a deregistration.
func (i *Instance) deregistration() string {
	if i.Born == 0 {
		return ""
	}
	return fmt.Sprintf(`{"born":%d}`, i.Born)
}

// bornField is the start as heartbeats tell it.
func (i *Instance) bornField() string {
	if i.Born == 0 {
		return ""
	}
	return fmt.Sprintf(`"born":%d,`, i.Born)
}

// foreignBeats are heartbeats that another kind of writer sends for an instance; the verb
// takes the service.
var foreignBeats = []string{
	``, "\xff\x00", `[]`, `{"status":{"state":"gone","sequence":900000000}}`,
	`{"address":"a:1","info":{"service":%q,"slots":4},"status":{"state":"resting","sequence":900000000}}`,
	`{"address":"a:1","info":{"service":%q,"slots":"4"},"status":{"state":"draining","sequence":900000000}}`,
	`{"address":7,"info":{"service":%q,"slots":4},"status":{"state":"draining","sequence":900000000}}`,
	`{"address":"a:1","born":"now","info":{"service":%q,"slots":4},"status":{"state":"draining","sequence":900000000}}`,
	`{"address":"a:1","info":{"service":"unheard-of","slots":4},"status":{"state":"draining","sequence":900000000}}`,
}

// foreignEvery is how many heartbeats of its own an instance sends for one of another
// writer.
const foreignEvery = 5

// sendForeign sends a heartbeat of another writer, which must be refused.
func (i *Instance) sendForeign(ctx context.Context, number uint64) {
	body := foreignBeats[number%uint64(len(foreignBeats))]
	if strings.Contains(body, "%") {
		body = fmt.Sprintf(body, i.Service)
	}
	status, err := post(ctx, "http://"+i.Control+"/instances/"+i.ID+"/heartbeat", body)
	if err == nil && status < http.StatusBadRequest {
		i.ledger.Broken("a heartbeat of another writer for %s was taken: %.80q", i.ID, body)
	}
}

// post sends a JSON body and returns the status.
func post(ctx context.Context, url, body string) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, nil
}
