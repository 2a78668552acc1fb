package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// packConfiguration has one route of large answers.
const packConfiguration = `{"version":%d,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"baseVersion":%d,` +
	`"listeners":[{"host":"packs.example","ruleSet":[{"name":"r-pack","routeType":"download","targetLatency":"600ms","priority":2,"match":{"pathPrefix":"/pack/"},"action":{"service":"mediastore","timeout":"1200ms","attempts":2}}]}],` +
	`"clusters":[{"name":"portal","healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false},{"name":"mediastore","healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false}]}`

const (
	// usualPack and largePack are the lengths of answers: the mean and the largest ones of the
	// site's class asset-fetch. packWork is how long a back end works on one.
	usualPack = 90_000
	largePack = 540_000
	packWork  = 130 * time.Millisecond
	// packTimeout is the route's timeout, packDeadline how long clients wait.
	packTimeout  = 1200 * time.Millisecond
	packDeadline = 2500 * time.Millisecond
	// slowClients read slowly: slowRead bytes each slowPause. The usual ones read at once.
	slowClients  = 6
	usualClients = 20
	slowRead     = 1 << 10
	slowPause    = 100 * time.Millisecond
	usualPause   = 400 * time.Millisecond
	trafficFor   = 20 * time.Second
	// answerSlack is how long after the timeout a final answer is due.
	answerSlack = 500 * time.Millisecond
)

// packSize returns the length of the answer to a request for a path.
func packSize(path string) int {
	if strings.HasPrefix(path, "/pack/large/") {
		return largePack
	}
	return usualPack
}

// tally counts what the usual clients saw.
type tally struct {
	mutex sync.Mutex
	// sent are all requests, whole those with a whole answer within the timeout. outlasted had no
	// final answer at the timeout, and unanswered none answerSlack later either.
	sent, whole, outlasted, unanswered int
}

// slowReaders lets some clients of a machine read large answers slowly, and checks that the other
// clients of the machine get theirs.
func slowReaders(f *fleet, trouble bool) (int, error) {
	var cores, sides []*machine
	for number := 1; number <= 5; number++ {
		cores = append(cores, f.core(number))
		cores[number-1].boot = true
	}
	f.seeds = []string{cores[0].control(), cores[1].control(), cores[2].control()}
	for number, service := range []string{"portal", "mediastore", "mediastore"} {
		sides = append(sides, f.side(number+1, service))
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, m := range append(append([]*machine{}, cores...), sides...) {
		if err := m.start(); err != nil {
			return unrun, err
		}
	}
	var backends []*backend
	for number, m := range sides {
		backends = append(backends, startBackend(ctx, m, fmt.Sprintf("i-%d", number+1), packWork, packSize))
	}
	orderContext, orderCancel := context.WithTimeout(ctx, 20*time.Second)
	defer orderCancel()
	status, text := f.operate(orderContext, func() []*machine { return cores }, http.MethodPost, "/config/put", fmt.Sprintf(packConfiguration, 7, 0))
	f.record.note("configuration 7: %d %s", status, text)
	if status != http.StatusOK {
		return unrun, errors.New("no configuration")
	}
	if err := awaitReady(20*time.Second, sides...); err != nil {
		return unrun, err
	}
	time.Sleep(3 * time.Second) // "contact": all machines are in touch
	door := sides[0]
	usual, slow := &tally{}, &tally{}
	traffic, stop := context.WithTimeout(ctx, trafficFor)
	defer stop()
	var group sync.WaitGroup
	for number := range slowClients {
		group.Go(func() { f.packClient(traffic, door, "large", fmt.Sprintf("slow-%d", number), trouble, slow) })
	}
	for number := range usualClients {
		group.Go(func() { f.packClient(traffic, door, "usual", fmt.Sprintf("usual-%d", number), false, usual) })
	}
	group.Wait()
	for _, b := range backends[1:] {
		f.record.note("back end %s ran %d requests", b.id, b.runs.Load())
	}
	f.record.note("the %d clients that read slowly (%v): %d sent, %d answered whole within the timeout", slowClients, trouble, slow.sent, slow.whole)
	f.record.note("the %d usual clients: %d sent, %d answered whole within the timeout of %v, %d without a final answer then, %d without one %v later",
		usualClients, usual.sent, usual.whole, packTimeout, usual.outlasted, usual.unanswered, answerSlack)
	const most, share = 8, 4
	if usual.unanswered >= most && usual.unanswered*share > usual.outlasted {
		f.record.note("CONFIG is broken: at least %d requests, and over a quarter of those that outlast the timeout, have no final answer %v after it", most, answerSlack)
		return broken, nil
	}
	return held, nil
}

// packClient asks for large answers one after the other, each on a connection of its own.
func (f *fleet) packClient(ctx context.Context, door *machine, kind, name string, slowly bool, seen *tally) {
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("%s-%d", name, number)
		took, err := fetchPack(door.outbound(), kind, id, slowly)
		seen.mutex.Lock()
		seen.sent++
		switch {
		case err == nil && took <= packTimeout:
			seen.whole++
		case took > packTimeout+answerSlack:
			seen.outlasted++
			seen.unanswered++
		case took > packTimeout:
			seen.outlasted++
		}
		seen.mutex.Unlock()
		if took > packTimeout {
			f.record.note("request %s: after %v: %v", id, took.Round(time.Millisecond), err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(usualPause):
		}
	}
}

// dialer connects as over an ordinary network: packets of 1448 bytes and a small window.
var dialer = net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
	const segment, window = 1448, 16 << 10
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = errors.Join(syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment),
			syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window))
	})
	return errors.Join(err, failed)
}}

// fetchPack sends one request, and reads its answer until the deadline. It returns the time until the
// whole answer was there, or the client left.
func fetchPack(address, kind, id string, slowly bool) (time.Duration, error) {
	began := time.Now()
	connection, err := dialer.Dial("tcp", address)
	if err != nil {
		return time.Since(began), err
	}
	defer connection.Close()
	_ = connection.SetDeadline(began.Add(packDeadline))
	fmt.Fprintf(connection, "GET /pack/%s/%s HTTP/1.1\r\nHost: packs.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", kind, id, id, packDeadline.Milliseconds())
	var source io.Reader = connection
	if slowly {
		source = slowReader{connection}
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(source, slowRead), nil)
	if err != nil {
		return time.Since(began), err
	}
	read, err := io.Copy(io.Discard, response.Body)
	took := time.Since(began)
	switch {
	case err != nil:
		return took, fmt.Errorf("status %d, %d bytes: %w", response.StatusCode, read, err)
	case response.StatusCode != http.StatusOK || read != int64(packSize("/pack/"+kind+"/")):
		return took, fmt.Errorf("status %d, %d bytes", response.StatusCode, read)
	}
	return took, nil
}

// slowReader reads little at a time.
type slowReader struct{ source io.Reader }

// Read implements io.Reader.
func (r slowReader) Read(buffer []byte) (int, error) {
	time.Sleep(slowPause)
	return r.source.Read(buffer[:min(len(buffer), slowRead)])
}
