package soak

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/quartzdock/quartzdock/lab/pause"
)

// configuration has gaps for its version, its base, its routes' time-out and how
// keys are granted.
const configuration = `{"version":%d,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"baseVersion":%d,` +
	`"listeners":[{"host":"a.example","ruleSet":[{"name":"keyed","routeType":"safe","targetLatency":"900ms","priority":2,"match":{"pathPrefix":"/k/"},"action":{"service":"keyed","timeout":"%dms","attempts":2}},` +
	`{"name":"once","routeType":"unsafe","targetLatency":"900ms","priority":1,"match":{"pathPrefix":"/o/"},"action":{"service":"keyed","timeout":"2500ms","attempts":2}},` +
	`{"name":"plain","routeType":"unsafe","targetLatency":"900ms","priority":1,"match":{"pathPrefix":"/p/"},"action":{"service":"plain","timeout":"2500ms","attempts":2}}]}],` +
	`"clusters":[{"name":"keyed","healthCheckPath":"/health","maxConnections":100,"protocol":"h1","tls":false,"sharded":true,"warm":"3s","grants":%q},` +
	`{"name":"plain","healthCheckPath":"/health","maxConnections":100,"protocol":"h1","tls":false}]}`

const (
	changePause   = 700 * time.Millisecond
	changeTimeout = 20 * time.Second
	readTimeout   = 20 * time.Second
	leastTimeout  = 2500
)

// operator changes the configuration again and again. Each second change races
// another one for the same version.
type operator struct {
	fleet    *fleet
	version  int
	accepted int
}

// change is one configuration that was sent.
type change struct {
	version, timeout int
	status           int
	err              error
}

// first sends the first configuration.
func (o *operator) first(ctx context.Context) error {
	o.version = 1
	sent := o.send(ctx, change{version: 1, timeout: leastTimeout}, 0)
	if sent.err != nil {
		return fmt.Errorf("first configuration: %w", sent.err)
	}
	if sent.status != http.StatusOK {
		return fmt.Errorf("first configuration: status %d", sent.status)
	}
	o.accepted++
	return nil
}

// send sends a change until there is a clear answer.
func (o *operator) send(ctx context.Context, sent change, base int) change {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	sent.status, sent.err = o.fleet.Operate(ctx, "/config/put", fmt.Sprintf(configuration, sent.version, base, sent.timeout, string(o.fleet.grants)))
	return sent
}

// run changes the configuration until the context ends. An operator that waits
// for an answer is let finish, unless the soak itself ends.
func (o *operator) run(ctx context.Context) {
	whole := o.fleet.ctx
	for number := 0; pause.For(ctx, changePause) == nil; number++ {
		if number%2 == 0 {
			o.settle(o.send(whole, change{version: o.version + 1, timeout: leastTimeout + number}, o.version))
			continue
		}
		o.race(whole, number)
	}
}

// race sends two changes on top of the same version at the same time.
func (o *operator) race(ctx context.Context, number int) {
	results := make(chan change, 2)
	for i := range 2 {
		go func() {
			results <- o.send(ctx, change{version: o.version + 1 + i, timeout: leastTimeout + number + i}, o.version)
		}()
	}
	first, second := <-results, <-results
	if first.accepted() && second.accepted() {
		o.fleet.Ledger.Broken("versions %d and %d, both on top of %d, were accepted", first.version, second.version, o.version)
	}
	if !first.accepted() {
		first = second
	}
	o.settle(first)
}

func (c change) accepted() bool { return c.err == nil && c.status == http.StatusOK }

// settle takes the result of a change.
func (o *operator) settle(sent change) {
	switch {
	case sent.err != nil && o.fleet.ctx.Err() != nil:
	case sent.err != nil:
		o.fleet.Ledger.Broken("version %d got no clear answer for %v", sent.version, changeTimeout)
	case sent.status == http.StatusOK:
		o.version = sent.version
		o.accepted++
	default:
		o.fleet.Ledger.Broken("version %d on top of %d was refused with %d", sent.version, o.version, sent.status)
	}
}

// versionField is a configuration's version, as it is read back.
var versionField = regexp.MustCompile(`"version":(\d+)`)

// verify reads the configuration back: it must be the newest that was accepted.
func (o *operator) verify(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	content, err := o.fleet.Configuration(ctx)
	if err != nil {
		o.fleet.Ledger.Broken("the configuration can't be read: %v", err)
		return
	}
	found := versionField.FindStringSubmatch(content)
	if found == nil {
		o.fleet.Ledger.Broken("the configuration read back has no version: %.80s", content)
		return
	}
	if version, _ := strconv.Atoi(found[1]); version != o.version {
		o.fleet.Ledger.Broken("version %d was accepted last, and %d is read back", o.version, version)
	}
}
