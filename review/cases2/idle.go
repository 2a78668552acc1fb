package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// readConfiguration has one route of small answers.
const readConfiguration = `{"version":%d,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"baseVersion":%d,` +
	`"listeners":[{"host":"maps.example","ruleSet":[{"name":"r-read","routeType":"safe","targetLatency":"300ms","priority":2,"match":{"pathPrefix":"/read/"},"action":{"service":"closures","timeout":"1000ms","attempts":2}}]}],` +
	`"clusters":[{"name":"portal","healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false},{"name":"closures","healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false}]}`

const (
	readBytes    = 1_500
	readWork     = 22 * time.Millisecond
	readTimeout  = time.Second
	readDeadline = 2 * time.Second
	// idleTimeout is that of the configuration. Without the disruption clients close a connection
	// that has rested for so long.
	idleTimeout = 15 * time.Second
	// readsPerSecond is how many requests a machine gets a second, each over a connection of its own.
	readsPerSecond = 65
	readsFor       = 85 * time.Second
	// report is how often the record gets a line.
	report = 5 * time.Second
)

// idleConnections sends requests over new connections at a steady rate, and lets the connections rest
// once the answers are there. It checks that all requests get an answer.
func idleConnections(f *fleet, trouble bool) (int, error) {
	var cores, sides []*machine
	for number := 1; number <= 5; number++ {
		cores = append(cores, f.core(number))
		cores[number-1].boot = true
	}
	f.seeds = []string{cores[0].control(), cores[1].control(), cores[2].control()}
	for number, service := range []string{"portal", "closures", "closures"} {
		sides = append(sides, f.side(number+1, service))
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, m := range append(append([]*machine{}, cores...), sides...) {
		if err := m.start(); err != nil {
			return unrun, err
		}
	}
	for number, m := range sides {
		startBackend(ctx, m, fmt.Sprintf("i-%d", number+1), readWork, func(string) int { return readBytes })
	}
	orderContext, orderCancel := context.WithTimeout(ctx, 20*time.Second)
	defer orderCancel()
	status, text := f.operate(orderContext, func() []*machine { return cores }, http.MethodPost, "/config/put", fmt.Sprintf(readConfiguration, 7, 0))
	f.record.note("configuration 7 with idleTimeout 15000ms: %d %s", status, text)
	if status != http.StatusOK {
		return unrun, errors.New("no configuration")
	}
	if err := awaitReady(10*time.Second, sides...); err != nil {
		return unrun, err
	}
	time.Sleep(3 * time.Second) // "contact": all machines are in touch
	resting := time.Hour
	if !trouble {
		resting = idleTimeout
	}
	all := &tally{}
	traffic, stop := context.WithTimeout(ctx, readsFor)
	defer stop()
	var group sync.WaitGroup
	ticker, reports := time.NewTicker(time.Second/readsPerSecond), time.NewTicker(report)
	defer ticker.Stop()
	defer reports.Stop()
	for number := 0; traffic.Err() == nil; {
		select {
		case <-ticker.C:
			number++
			group.Go(func() { f.readOnce(traffic, sides[0], fmt.Sprintf("read-%d", number), resting, all) })
		case <-reports.C:
			all.mutex.Lock()
			f.record.note("so far %d sent, %d answered whole within the timeout, %d without a final answer then, %d without one %v later", all.sent, all.whole, all.outlasted, all.unanswered, answerSlack)
			all.mutex.Unlock()
		case <-traffic.Done():
		}
	}
	group.Wait()
	f.record.note("%d sent, %d answered whole within the timeout of %v, %d without a final answer then, %d without one %v later",
		all.sent, all.whole, readTimeout, all.outlasted, all.unanswered, answerSlack)
	const most, share = 8, 4
	if all.unanswered >= most && all.unanswered*share > all.outlasted {
		f.record.note("CONFIG is broken: at least %d requests, and over a quarter of those that outlast the timeout, have no final answer %v after it", most, answerSlack)
		return broken, nil
	}
	return held, nil
}

// readOnce sends one request over a new connection, which then rests.
func (f *fleet) readOnce(ctx context.Context, door *machine, id string, resting time.Duration, seen *tally) {
	began := time.Now()
	connection, err := net.DialTimeout("tcp", door.outbound(), time.Second)
	if err == nil {
		defer connection.Close()
		_ = connection.SetDeadline(began.Add(readDeadline))
		err = readAnswer(connection, id)
	}
	took := time.Since(began)
	seen.mutex.Lock()
	seen.sent++
	switch {
	case err == nil && took <= readTimeout:
		seen.whole++
	case took > readTimeout+answerSlack:
		seen.outlasted++
		seen.unanswered++
	case took > readTimeout:
		seen.outlasted++
	}
	first := seen.outlasted < 20
	seen.mutex.Unlock()
	if err != nil && first {
		f.record.note("request %s: after %v: %v", id, took.Round(time.Millisecond), err)
	}
	if err == nil {
		select {
		case <-ctx.Done():
		case <-time.After(resting):
		}
	}
}

// readAnswer sends one request and reads its answer whole.
func readAnswer(connection net.Conn, id string) error {
	fmt.Fprintf(connection, "GET /read/%s HTTP/1.1\r\nHost: maps.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", id, id, readDeadline.Milliseconds())
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return err
	}
	read, err := io.Copy(io.Discard, response.Body)
	if err == nil && (response.StatusCode != http.StatusOK || read != readBytes) {
		err = fmt.Errorf("status %d, %d bytes", response.StatusCode, read)
	}
	return err
}
