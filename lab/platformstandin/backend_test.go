package platformstandin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startAlone starts a back end that gets its keys by call, without any machine, and
// returns its address.
func startAlone(t *testing.T, instance *Instance) string {
	t.Helper()
	ports, err := freePorts()
	assert.NilError(t, err)
	address := fmt.Sprintf("%s:%d", hostIP(firstSide), ports.App)
	instance.Service, instance.Keyed, instance.Slots = "keyed", true, 8
	instance.Control = fmt.Sprintf("%s:%d", hostIP(firstSide), ports.Control)
	ctx, cancel := context.WithCancel(t.Context())
	assert.NilError(t, StartInstance(ctx, NewLedger(), address, instance))
	t.Cleanup(func() { cancel(); instance.Stop() })
	return address
}

// send sends a call to a back end on a client's connections.
func send(client *http.Client, address, path, body string, header map[string]string) (Answer, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return Answer{}, err
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	return ask(client, request)
}

func grantBody(first, last, fence int, hold time.Duration) string {
	return fmt.Sprintf(`{"fromRev":%d,"targetVersion":%d,"fence":%d,"hold_time":"%dms"}`, first, last, fence, hold.Milliseconds())
}

func newClient(t *testing.T) *http.Client {
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// longRun sends a request that keeps the back end at work, and returns once it is.
func longRun(t *testing.T, instance *Instance, address, id string, key uint32, work time.Duration) chan Answer {
	t.Helper()
	answers := make(chan Answer, 1)
	go func() {
		answer, _ := send(newClient(t), address, "/k/x", "", map[string]string{"Request-Id": id, "Shard-Key": fmt.Sprint(key), workField: fmt.Sprint(work.Milliseconds())})
		answers <- answer
	}()
	for instance.ledger.Runs(id) == 0 {
		time.Sleep(time.Millisecond)
	}
	return answers
}

// A grant or a release that names another back end changes nothing.
func TestCallsForAnotherBackEndAreMisdirected(t *testing.T) {
	instance := &Instance{ID: "a"}
	address := startAlone(t, instance)
	client := newClient(t)
	for _, target := range []string{"b", "a", ""} {
		for _, path := range []string{"/grant", "/release"} {
			answer, err := send(client, address, path, grantBody(0, 99, 1, time.Minute), map[string]string{"Target-Instance": target})
			assert.NilError(t, err)
			if target != "b" {
				assert.Equal(t, answer.Status, http.StatusOK)
				assert.Equal(t, instance.holdsAny(heldRange{first: 5, last: 5}), path == "/grant")
				continue
			}
			assert.Equal(t, answer.Status, http.StatusMisdirectedRequest)
			assert.Equal(t, answer.Header.Get("Handover"), "")
			assert.Assert(t, !instance.holdsAny(heldRange{first: 5, last: 5}))
		}
	}
}

// A release stops new work at once, and is answered when the work on its keys, and on no
// others, has ended.
func TestAReleaseIsAnsweredOnceItsWorkHasEnded(t *testing.T) {
	instance := &Instance{ID: "a"}
	address := startAlone(t, instance)
	client := newClient(t)
	_, err := send(client, address, "/grant", grantBody(0, 99, 1, time.Minute), nil)
	assert.NilError(t, err)
	inside := longRun(t, instance, address, "inside", 10, 300*time.Millisecond)
	outside := longRun(t, instance, address, "outside", 80, 2*time.Second)
	released := make(chan Answer, 1)
	go func() {
		answer, _ := send(newClient(t), address, "/release", grantBody(0, 50, 1, 0), nil)
		released <- answer
	}()
	for instance.holdsAny(heldRange{first: 10, last: 10}) {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, instance.holdsOrWorksOn(heldRange{first: 10, last: 10}))
	refused, err := send(client, address, "/k/x", "", map[string]string{"Request-Id": "late", "Shard-Key": "10"})
	assert.NilError(t, err)
	assert.Equal(t, refused.Status, http.StatusMisdirectedRequest)
	answer := <-released
	assert.Equal(t, answer.Status, http.StatusOK)
	assert.Assert(t, answer.Header.Get("Handover") != "")
	assert.Assert(t, !instance.ledger.RunsOf("inside")[0].Ended.IsZero(), "the release was answered while work ran on its keys")
	assert.Assert(t, instance.ledger.RunsOf("outside")[0].Ended.IsZero(), "the release waited for work on other keys")
	assert.Equal(t, (<-inside).Status, http.StatusOK)
	assert.Equal(t, (<-outside).Status, http.StatusOK)
}

// Work that outlasts its lease ends with 500, and not before the end of a lease that
// was renewed.
func TestWorkEndsWithItsLease(t *testing.T) {
	instance := &Instance{ID: "a"}
	address := startAlone(t, instance)
	client := newClient(t)
	for _, last := range []int{49, 99} {
		_, err := send(client, address, "/grant", grantBody(0, last, 1, 400*time.Millisecond), nil)
		assert.NilError(t, err)
	}
	short := longRun(t, instance, address, "short", 80, 2*time.Second)
	long := longRun(t, instance, address, "long", 10, time.Second)
	_, err := send(client, address, "/grant", grantBody(0, 49, 1, time.Minute), nil)
	assert.NilError(t, err)
	assert.Equal(t, (<-short).Status, http.StatusInternalServerError)
	assert.Equal(t, (<-long).Status, http.StatusOK)
	run := instance.ledger.RunsOf("short")[0]
	assert.Assert(t, !run.Cut && !run.Ended.IsZero(), "%+v", run)
}

// Behind a closed listener new connections are refused and open ones are served.
func TestOpenConnectionsAreServedBehindAClosedListener(t *testing.T) {
	instance := &Instance{ID: "a"}
	address := startAlone(t, instance)
	client := newClient(t)
	health := func(client *http.Client) error {
		response, err := client.Get("http://" + address + "/health")
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, response.Body)
		return errors.Join(err, response.Body.Close())
	}
	assert.NilError(t, health(client))
	instance.CloseListener()
	for range 3 {
		assert.NilError(t, health(client))
		assert.ErrorIs(t, health(newClient(t)), syscall.ECONNREFUSED)
	}
	assert.NilError(t, instance.Listen())
	assert.NilError(t, health(newClient(t)))
	instance.Stop()
	assert.NilError(t, instance.Listen())
	assert.ErrorIs(t, health(newClient(t)), syscall.ECONNREFUSED)
}

// A listener that is closed before it was to open late stays closed until it is opened,
// and may be opened twice.
func TestAClosedListenerDoesNotOpenLate(t *testing.T) {
	instance := &Instance{ID: "a", ListenLate: 50 * time.Millisecond}
	address := startAlone(t, instance)
	instance.CloseListener()
	time.Sleep(4 * instance.ListenLate)
	_, err := send(newClient(t), address, "/health", "", nil)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	for range 2 {
		assert.NilError(t, instance.Listen())
	}
	_, err = send(newClient(t), address, "/health", "", nil)
	assert.NilError(t, err)
}

// Guards against "address already in use" where a back end's next life starts while a process is being
// started: until that process runs its program it has a copy of the listener's descriptor.
func TestAnAddressIsFreeAtOnceWhileACopyOfItsListenerIsOpen(t *testing.T) {
	instance := &Instance{ID: "a"}
	address := startAlone(t, instance)
	copied, err := instance.door.listener.File()
	assert.NilError(t, err)
	defer copied.Close()
	instance.Stop()
	next := &Instance{ID: "a", Service: "keyed", Keyed: true, Slots: 8, Control: instance.Control}
	assert.NilError(t, StartInstance(t.Context(), NewLedger(), address, next))
	next.Stop()
	_, err = net.DialTimeout("tcp", address, time.Second)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
}
