package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { runCases["refused"] = runRefused }

// runRefused shows a request that may not be repeated, that is refused, and that has run.
func runRefused(ctx context.Context, r *record, folder string, trouble bool) (int, error) {
	// Of the back ends of the other service, which has no keys, one is left.
	const service, other = "xano55b", "nylo40d"
	f, err := newFleet(r, folder, service, service, service, service, other)
	if err != nil {
		return 0, err
	}
	defer f.stopAll()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.watchReadiness(ctx)
	runs := newLedger()
	rule := func(name, prefix, service string, attempts int) string {
		return fmt.Sprintf(`{"name":%q,"routeType":"unsafe","targetLatency":"400ms","priority":1,"match":{"pathPrefix":%q},"action":{"service":%q,"timeout":"1200ms","attempts":%d}}`, name, prefix, service, attempts)
	}
	configuration := `{"version":3,` + limitsText + `,"baseVersion":0,"listeners":[{"host":"jepu9.example","ruleSet":[` + rule("r-89anu6w", "/puka111/", service, 2) + "," + rule("r-ctnfzs9", "/tavo333/", service, 3) + "," + rule("r-s989anu", "/leny950/", other, 2) +
		`]}],"clusters":[{"name":"` + service + `","healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"sharded":true,"warm":"3s","grants":"call"},{"name":"` + other + `","healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false}]}`
	var backends []*backend
	err = startFleet(ctx, f, configuration, func() error {
		for _, m := range f.sides {
			b, err := startBackend(m, runs, m.service == service, 40*time.Millisecond)
			if err != nil {
				return err
			}
			b.refuse = func() bool { return rand.Float64() < 0.03 }
			b.surplus = func() bool { return trouble && rand.Float64() < 0.5 }
			backends = append(backends, b)
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second) // until the keys have owners
	c := newClients(f)
	streaming, stop := context.WithTimeout(ctx, 30*time.Second)
	defer stop()
	for _, path := range []string{"/puka111/2f", "/tavo333/2f", "/leny950/2f"} {
		c.stream(streaming, 50, requestKind{method: "POST", host: "jepu9.example", path: path, body: "closure", keyed: path != "/leny950/2f", deadline: 2500 * time.Millisecond})
	}
	<-streaming.Done()
	time.Sleep(3 * time.Second)
	c.running.Wait()
	for _, b := range backends {
		b.end()
	}
	return checkRefused(r, c, runs), nil
}

// checkRefused counts the requests that got a promise that they have not run, and have run, and
// those that ran more than once.
func checkRefused(r *record, c *clients, runs *ledger) (breaks int) {
	answered, refused, failed, twice := 0, 0, 0, 0
	for _, a := range c.all() {
		times := len(runs.of(a.id))
		switch {
		case a.err != nil || a.status >= 500 && a.status != 503:
			failed++
		case a.status == 200:
			answered++
		default:
			refused++
		}
		promise := a.err == nil && (a.status == 429 || a.status == 503 || a.status == 408 || a.status == 421)
		if promise && times > 0 {
			breaks++
			r.add("check", "REFUSED: %s got %d and has run %d times, at a back end of %s", a.id, a.status, times, runs.of(a.id)[0].backend.machine.service)
		}
		if times > 1 {
			twice++
			r.add("check", "TWICE: %s got %d and has run %d times", a.id, a.status, times)
		}
	}
	r.add("check", "%d answered, %d refused, %d failed; REFUSED is broken %d times, TWICE %d times", answered, refused, failed, breaks, twice)
	fmt.Printf("%d answered, %d refused, %d failed; REFUSED is broken %d times, TWICE %d times\n", answered, refused, failed, breaks, twice)
	return breaks
}
