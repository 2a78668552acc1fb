package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { runCases["owner"] = runOwner }

// owners checks that no back end gets a key that another one still works on.
type owners struct {
	record *record
	mutex  sync.Mutex
	all    []*backend
	breaks int
}

func (o *owners) add(b *backend) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.all = append(o.all, b)
}

// granted counts the keys of a grant that another back end works on, if the lease under which it
// does has not run out.
func (o *owners) granted(to *backend, granted heldRange) {
	if o == nil {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := time.Now()
	for _, other := range o.all {
		if other == to {
			continue
		}
		for key, until := range other.worksOn(granted.first, granted.last, now) {
			o.breaks++
			o.record.add("check", "OWNER: %s gets key %d, %s still works on it, and its lease has %.3f s left", to.id, key, other.id, until.Sub(now).Seconds())
		}
	}
}

// worksOn returns the keys of a range that the back end works on, with the end of the lease under
// which it does, as far as that lies ahead.
func (b *backend) worksOn(first, last uint32, now time.Time) map[uint32]time.Time {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	found := map[uint32]time.Time{}
	if b.ended {
		return found
	}
	for key, count := range b.running {
		if count == 0 || key < first || key > last {
			continue
		}
		for _, ranges := range [][]heldRange{b.held, b.released} {
			for _, held := range ranges {
				if held.first <= key && key <= held.last && now.Before(held.until) {
					found[key] = held.until
				}
			}
		}
	}
	return found
}

// leaveInterval is the time between two back ends that leave.
const leaveInterval = 9 * time.Second

// drainAndEnd makes a back end say that it drains, serve for a while, and end.
func (b *backend) drainAndEnd() {
	b.mutex.Lock()
	b.state = "draining"
	b.mutex.Unlock()
	b.record.add("back end", "%s drains", b.id)
	time.Sleep(heartbeatInterval + drainBound + time.Second)
	b.deregister()
	b.end()
}

// runOwner shows a key that one back end gets while another still works on it.
func runOwner(ctx context.Context, r *record, folder string, trouble bool) (int, error) {
	const service = "dele69a"
	f, err := newFleet(r, folder, service, service, service, service)
	if err != nil {
		return 0, err
	}
	defer f.stopAll()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.watchReadiness(ctx)
	runs := newLedger()
	held := &owners{record: r}
	configuration := `{"version":3,` + limitsText + `,"baseVersion":0,"listeners":[{"host":"hulo84.example","ruleSet":[{"name":"r-89anu6w","routeType":"safe","targetLatency":"300ms","priority":2,"match":{"pathPrefix":"/leny950/"},"action":{"service":"` + service + `","timeout":"1000ms","attempts":2}}]}],"clusters":[{"name":"` + service + `","healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"sharded":true,"warm":"3s","grants":"call"}]}`
	startOne := func(m *machine) (*backend, error) {
		b, err := startBackend(m, runs, true, 0)
		if err != nil {
			return nil, err
		}
		// As the sheet has it for route-read: 90 ms, 540 ms at most.
		b.workTime = func() time.Duration {
			return min(time.Duration(rand.ExpFloat64()*float64(90*time.Millisecond)), 540*time.Millisecond)
		}
		b.surplusGrant = func() bool { return trouble && rand.Float64() < 0.06 }
		b.owners = held
		held.add(b)
		return b, nil
	}
	backends := map[*machine]*backend{}
	err = startFleet(ctx, f, configuration, func() error {
		for _, m := range f.sides {
			if backends[m], err = startOne(m); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	c := newClients(f)
	streaming, stop := context.WithCancel(ctx)
	defer stop()
	c.stream(streaming, 450, requestKind{method: http.MethodGet, host: "hulo84.example", path: "/leny950/2f", keyed: true, deadline: 2 * time.Second})
	time.Sleep(8 * time.Second)
	for round := range 2 * len(f.sides) {
		m := f.sides[round%len(f.sides)]
		begun := time.Now()
		backends[m].drainAndEnd()
		if backends[m], err = startOne(m); err != nil {
			return 0, err
		}
		time.Sleep(time.Until(begun.Add(leaveInterval)))
	}
	stop()
	c.running.Wait()
	held.mutex.Lock()
	defer held.mutex.Unlock()
	fmt.Printf("%d keys got by a back end while another worked on them\n", held.breaks)
	return held.breaks, nil
}
