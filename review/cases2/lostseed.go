package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"
)

// configuration is the first configuration of a deployment with one service.
const configuration = `{"version":%d,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"baseVersion":%d,` +
	`"listeners":[{"host":"maps.example","ruleSet":[{"name":"r-edit","routeType":"unsafe","targetLatency":"400ms","priority":1,"match":{"pathPrefix":"/edit/"},"action":{"service":"closures","timeout":"1200ms","attempts":2}}]}],` +
	`"clusters":[{"name":"closures","healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false}]}`

const (
	// seedLivesFor is how long after its start the seed is lost, by default.
	seedLivesFor = 20 * time.Millisecond
	// successorAfter is the time until its successor starts.
	successorAfter = 2 * time.Second
	// orderFor is how long the operator sends the first configuration: three times the bound
	// "recovery". readFor is how long it reads back, more than "contact".
	orderFor = 45 * time.Second
	readFor  = 10 * time.Second
)

// lostSeed loses one machine of the core for good, right after the first start of the whole system,
// and puts an empty one at another address in its place. The machine is one of the three seeds.
func lostSeed(f *fleet, trouble bool) (int, error) {
	var cores []*machine
	for number := 1; number <= 5; number++ {
		core := f.core(number)
		core.boot = true
		cores = append(cores, core)
	}
	f.seeds = []string{cores[0].control(), cores[1].control(), cores[2].control()}
	lost := cores[2]
	for _, core := range []*machine{cores[0], cores[1], cores[3], cores[4]} {
		if err := core.start(); err != nil {
			return unrun, err
		}
	}
	time.Sleep(200 * time.Millisecond) // all start within 0.3 s of each other
	if err := lost.start(); err != nil {
		return unrun, err
	}
	present := cores
	if trouble {
		lives := seedLivesFor
		if text := os.Getenv("SEED_LIVES_MS"); text != "" {
			number, err := strconv.Atoi(text)
			if err != nil {
				return unrun, err
			}
			lives = time.Duration(number) * time.Millisecond
		}
		time.Sleep(lives)
		lost.kill()
		f.record.note("%s is removed for good, %v after its start", lost.name, lives)
		time.Sleep(successorAfter)
		successor := f.core(6)
		f.seeds = []string{cores[0].control(), cores[1].control(), cores[3].control()}
		if err := successor.start(); err != nil {
			return unrun, err
		}
		present = []*machine{cores[0], cores[1], cores[3], cores[4], successor}
	}
	return f.orderAndRead(present)
}

// orderAndRead sends the first configuration until it is acknowledged, and reads it back.
func (f *fleet) orderAndRead(present []*machine) (int, error) {
	const version = 7
	all := func() []*machine { return present }
	ctx, cancel := context.WithTimeout(context.Background(), orderFor)
	defer cancel()
	status, text := f.operate(ctx, all, http.MethodPost, "/config/put", fmt.Sprintf(configuration, version, 0))
	f.record.note("POST /config/put, version %d, base 0, sent until a clear answer or for %v: last status %d %s", version, orderFor, status, text)
	ctx, cancel = context.WithTimeout(context.Background(), readFor)
	defer cancel()
	read, text := f.operate(ctx, all, http.MethodGet, "/config/get", "")
	f.record.note("GET /config/get, sent until it answers 200 or for %v: last status %d %.120s", readFor, read, text)
	var got struct{ Version int }
	if read == http.StatusOK && json.Unmarshal([]byte(text), &got) == nil && got.Version == version {
		return held, nil
	}
	f.record.note("CONFIG is broken: the configuration read back at the end does not come")
	return broken, nil
}
