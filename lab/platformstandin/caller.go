package platformstandin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Answer is what a caller got.
type Answer struct {
	Status int
	Header http.Header
	Body   string
}

// Call sends one attempt of a caller at a machine.
func (m *Machine) Call(ctx context.Context, method, host, path, id, key, body string) (Answer, error) {
	request, err := m.request(ctx, method, host, path, id, key, body)
	if err != nil {
		return Answer{}, err
	}
	return m.ask(http.DefaultClient, request)
}

// CallReady sends one attempt of a caller that leaves machines that are not
// ready: it uses connections that are open, and gets ErrLeft where there is none
// and the machine has left. The back end is to be at work for a time, and to make a
// call of its own where that is not nil. Nothing is sent a second time.
func (m *Machine) CallReady(ctx context.Context, method, host, path, id, key, body string, work time.Duration, lookUp *LookUp) (Answer, error) {
	request, err := m.request(ctx, method, host, path, id, key, body)
	if err != nil {
		return Answer{}, err
	}
	request.Header.Set(workField, strconv.FormatInt(work.Milliseconds(), 10))
	if lookUp != nil {
		request.Header.Set(lookUpField, lookUp.header())
	}
	request.GetBody = nil // the client has nothing to repeat
	return m.ask(m.client, request)
}

// CallBeside sends the call of the back end beside the machine.
func (m *Machine) CallBeside(ctx context.Context, method, host, path, id string, call LookUp) (Answer, error) {
	request, err := m.request(ctx, method, host, path, id, call.Key, "")
	if err != nil {
		return Answer{}, err
	}
	request.Header.Set(workField, strconv.FormatInt(call.Work.Milliseconds(), 10))
	// Without a body the client would send it again where a connection breaks.
	request.Body, request.GetBody, request.ContentLength = io.NopCloser(strings.NewReader("look")), nil, int64(len("look"))
	return m.ask(m.beside, request)
}

// CallerDeadline is how long callers wait.
const CallerDeadline = 3 * time.Second

func (m *Machine) request(ctx context.Context, method, host, path, id, key, body string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.Outbound()+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	m.fleet.Ledger.limits.begins(id, m.Name)
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set(deadlineField, strconv.FormatInt(CallerDeadline.Milliseconds(), 10))
	request.Header.Set("Caller-Service", "forged")
	if key != "" {
		request.Header.Set("Shard-Key", key)
	}
	return request, nil
}

// ask sends a request to the machine, and notes what its answer states of the back end.
func (m *Machine) ask(client *http.Client, request *http.Request) (Answer, error) {
	answer, err := ask(client, request)
	instance := answer.Header.Get(lifeField)
	m.fleet.Ledger.limits.passedOn(m.Name, instance, answer.Header.Get(limitField), time.Now())
	if answer.Header.Get(leavingField) != "" {
		m.fleet.Ledger.leavings.passedOn(m.Name, instance, time.Now())
	}
	return answer, err
}

func ask(client *http.Client, request *http.Request) (Answer, error) {
	response, err := client.Do(request)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return Answer{response.StatusCode, response.Header, string(content)}, err
}
