package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// hostConfiguration has the listeners that are put into it.
const hostConfiguration = `{"version":%d,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"baseVersion":%d,` +
	`"listeners":[{"host":"maps.example","ruleSet":[{"name":"r-read","routeType":"safe","targetLatency":"300ms","priority":2,"match":{"pathPrefix":"/read/"},"action":{"service":"wayfinder","timeout":"1000ms","attempts":2}}]},` +
	`{"host":"edit.example","ruleSet":[%s]}],` +
	`"clusters":[{"name":"wayfinder","healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false}]}`

const editRule = `{"name":"r-edit","routeType":"unsafe","targetLatency":"250ms","priority":2,"match":{"pathPrefix":"/edit/"},"action":{"service":"wayfinder","timeout":"800ms","attempts":2}}`

// hostBody is what the case compares of a configuration.
type hostBody struct {
	Version   int
	Listeners []struct {
		Host    string
		RuleSet []json.RawMessage
	}
}

// hosts returns the hosts of a configuration with the number of their rules, sorted.
func (b *hostBody) hosts() []string {
	var hosts []string
	for _, listener := range b.Listeners {
		hosts = append(hosts, fmt.Sprintf("%s (%d rules)", listener.Host, len(listener.RuleSet)))
	}
	slices.Sort(hosts)
	return hosts
}

// emptyHost changes the configuration: the change removes the only rule of a host, and keeps the host.
// Then it reads the configuration back.
func emptyHost(f *fleet, trouble bool) (int, error) {
	var cores []*machine
	for number := 1; number <= 5; number++ {
		core := f.core(number)
		core.boot = true
		cores = append(cores, core)
	}
	f.seeds = []string{cores[0].control(), cores[1].control(), cores[2].control()}
	for _, core := range cores {
		if err := core.start(); err != nil {
			return unrun, err
		}
	}
	all := func() []*machine { return cores }
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	changes := []string{fmt.Sprintf(hostConfiguration, 3, 0, editRule)}
	if trouble {
		changes = append(changes, fmt.Sprintf(hostConfiguration, 5, 3, ""))
	}
	sent := ""
	for _, change := range changes {
		sent = change
		status, text := f.operate(ctx, all, http.MethodPost, "/config/put", change)
		f.record.note("POST /config/put %s\n          -> %d %s", change, status, text)
		if status != http.StatusOK {
			return unrun, errors.New("the change is not acknowledged")
		}
	}
	status, text := f.operate(ctx, all, http.MethodGet, "/config/get", "")
	f.record.note("GET /config/get -> %d %s", status, text)
	if status != http.StatusOK {
		return unrun, errors.New("the configuration can't be read")
	}
	var want, got hostBody
	if err := errors.Join(json.Unmarshal([]byte(sent), &want), json.Unmarshal([]byte(text), &got)); err != nil {
		return unrun, err
	}
	f.record.note("sent under version %d: %v; read back under version %d: %v", want.Version, want.hosts(), got.Version, got.hosts())
	if want.Version == got.Version && !slices.Equal(want.hosts(), got.hosts()) {
		f.record.note("CONFIG is broken: the configuration read back differs from what was sent under its number")
		return broken, nil
	}
	return held, nil
}
