package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

func init() { runCases["drain"] = runDrain }

const (
	// servesOn is for how long back ends serve after the acknowledgement that they leave.
	servesOn = 7 * time.Second
	// rollInterval is the time between two machines that are stopped.
	rollInterval = 15 * time.Second
)

// runDrain shows a back end whose acknowledged deregistration is forgotten as its gateway is
// stopped as planned and started again.
func runDrain(ctx context.Context, r *record, folder string, trouble bool) (int, error) {
	f, backends, c, runs, stop, err := startDrainFleet(ctx, r, folder)
	if err != nil {
		return 0, err
	}
	defer f.stopAll()
	defer stop()
	var checks sync.WaitGroup
	breaks := make([]int, 4)
	for i, m := range f.sides[:4] {
		begun := time.Now()
		if trouble {
			go func() { _ = m.roll() }()
		}
		checks.Add(1)
		go func() {
			defer checks.Done()
			breaks[i] = leave(r, c, runs, backends[m], trouble)
		}()
		time.Sleep(time.Until(begun.Add(rollInterval)))
	}
	checks.Wait()
	sum := 0
	for _, count := range breaks {
		sum += count
	}
	return sum, nil
}

// startDrainFleet starts a fleet with two services of four back ends each, and its clients; stop
// ends the clients.
func startDrainFleet(ctx context.Context, r *record, folder string) (f *fleet, backends map[*machine]*backend, c *clients, runs *ledger, stop func(), err error) {
	const leaving, other = "nylo40d", "xano55b"
	if f, err = newFleet(r, folder, leaving, leaving, leaving, leaving, other, other, other, other); err != nil {
		return nil, nil, nil, nil, nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	f.watchReadiness(ctx)
	runs = newLedger()
	cluster := func(name string) string {
		return `{"name":"` + name + `","healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false}`
	}
	rule := func(name, prefix, service string) string {
		return `{"name":"` + name + `","routeType":"unsafe","targetLatency":"400ms","priority":1,"match":{"pathPrefix":"` + prefix + `"},"action":{"service":"` + service + `","timeout":"1200ms","attempts":2}}`
	}
	configuration := `{"version":3,` + limitsText + `,"baseVersion":0,"listeners":[{"host":"jepu9.example","ruleSet":[` + rule("r-89anu6w", "/puka111/", leaving) + `,` + rule("r-ctnfzs9", "/leny950/", other) + `]}],"clusters":[` + cluster(leaving) + `,` + cluster(other) + `]}`
	backends = map[*machine]*backend{}
	err = startFleet(ctx, f, configuration, func() error {
		for _, m := range f.sides {
			var err error
			if backends[m], err = startBackend(m, runs, false, 120*time.Millisecond); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		cancel()
		f.stopAll()
		return nil, nil, nil, nil, nil, err
	}
	c = newClients(f)
	c.stream(ctx, 80, requestKind{method: "POST", host: "jepu9.example", path: "/puka111/2f", body: "edit", deadline: 1500 * time.Millisecond})
	c.stream(ctx, 30, requestKind{method: "POST", host: "jepu9.example", path: "/leny950/2f", body: "post", deadline: 1500 * time.Millisecond})
	time.Sleep(4 * time.Second)
	return f, backends, c, runs, func() {
		cancel()
		c.running.Wait()
	}, nil
}

// awaitClosed returns once an address takes no connections any more, or after a limit.
func awaitClosed(address string, limit time.Duration) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		connection, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return
		}
		_ = connection.Close()
	}
}

// leave makes a back end leave, and counts the requests that reach it too late.
func leave(r *record, c *clients, runs *ledger, b *backend, trouble bool) (breaks int) {
	if trouble {
		awaitClosed(b.machine.outbound(), grace)
		time.Sleep(time.Duration(10+rand.IntN(60)) * time.Millisecond)
	}
	acknowledged, ok := b.deregister()
	return leaveAfter(r, c, runs, b, acknowledged, ok)
}

// leaveAfter lets a back end that has sent its deregistration serve on and end, and counts the
// requests that reach it too late.
func leaveAfter(r *record, c *clients, runs *ledger, b *backend, acknowledged time.Time, ok bool) (breaks int) {
	time.Sleep(servesOn)
	b.end()
	if !ok {
		r.add("check", "%s got no acknowledgement", b.id)
		return 0
	}
	b.mutex.Lock()
	arrivals := append([]arrival{}, b.arrivals...)
	b.mutex.Unlock()
	late, cut := 0, 0
	for _, arrived := range arrivals {
		a := c.of(arrived.request)
		if a == nil || arrived.at.Before(acknowledged.Add(drainBound)) {
			continue
		}
		late++
		if b.machine.inTouchAt(arrived.at) && a.inTouch && c.fleet.coreStableAt(arrived.at) {
			breaks++
			r.add("check", "DRAIN: %s reaches %s %.3f s after the acknowledgement, from %s by way of %s", a.id, b.id, arrived.at.Sub(acknowledged).Seconds(), a.at.name, b.machine.name)
		}
		for _, begun := range runs.of(a.id) {
			if begun.cut {
				cut++
				r.add("check", "%s was at work there when it ended; its client got status %d, error %v", a.id, a.status, a.err)
			}
		}
	}
	r.add("check", "%s: %d requests later than drain, %d of them through machines in touch, %d cut by its end", b.id, late, breaks, cut)
	fmt.Printf("%s: %d requests later than drain, %d of them through machines in touch, %d cut by its end\n", b.id, late, breaks, cut)
	return breaks
}

// inTouchAt reports whether nothing had happened to the process for contact before a time, and
// nothing has since.
func (m *machine) inTouchAt(at time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return at.Sub(m.disturbedAt) > contact
}

// coreStableAt reports whether nothing had happened to the core machines for contact before a time.
func (f *fleet) coreStableAt(at time.Time) bool {
	for _, core := range f.cores {
		if !core.inTouchAt(at) {
			return false
		}
	}
	return true
}
