package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"
)

func init() { runCases["replace"] = runReplace }

const (
	// successorDelay is the time from the end of a core machine until its successor starts.
	successorDelay = 2 * time.Second
	// readLimit is for how long the operator asks for the configuration at the end.
	readLimit = 25 * time.Second
)

// replaceIntervals are the times from the end of each core machine that is replaced until the next
// step. Each successor has had sync_time (4 s) and more by then.
var replaceIntervals = []time.Duration{9 * time.Second, 13 * time.Second, 13 * time.Second, 9 * time.Second}

// runReplace shows a group of controllers that is lost for good after its machines were replaced one
// after the other.
func runReplace(ctx context.Context, r *record, folder string, trouble bool) (int, error) {
	const service = "xano55b"
	f, err := newFleet(r, folder, service, service, service, service)
	if err != nil {
		return 0, err
	}
	defer f.stopAll()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.watchReadiness(ctx)
	runs := newLedger()
	configuration := `{"version":3,` + limitsText + `,"baseVersion":0,"listeners":[{"host":"jepu9.example","ruleSet":[{"name":"r-89anu6w","routeType":"unsafe","targetLatency":"400ms","priority":1,"match":{"pathPrefix":"/puka111/"},"action":{"service":"` + service + `","timeout":"1200ms","attempts":2}}]}],"clusters":[{"name":"` + service + `","healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false}]}`
	err = startFleet(ctx, f, configuration, func() error {
		for _, m := range f.sides {
			if _, err := startBackend(m, runs, false, 20*time.Millisecond); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	c := newClients(f)
	streaming, stop := context.WithCancel(ctx)
	c.stream(streaming, 30, requestKind{method: "POST", host: "jepu9.example", path: "/puka111/2f", body: "edit", deadline: 1500 * time.Millisecond})
	time.Sleep(3 * time.Second)
	for _, interval := range replaceIntervals {
		if trouble {
			if err := f.replaceCore(); err != nil {
				stop()
				return 0, err
			}
		} else {
			time.Sleep(successorDelay)
		}
		time.Sleep(interval - successorDelay)
	}
	from := time.Now()
	version := f.readBack(ctx, readLimit)
	stop()
	c.running.Wait()
	served, unserved := 0, 0
	for _, a := range c.all() {
		if a.sent.Before(from) {
			continue
		}
		if a.status == http.StatusOK {
			served++
		} else {
			unserved++
		}
	}
	alive := 0
	for _, m := range f.cores {
		if !m.hasEnded() {
			alive++
		}
	}
	r.add("check", "%d core machines run; since %.1f s %d requests were served and %d were not", alive, from.Sub(r.began).Seconds(), served, unserved)
	fmt.Printf("%d core machines run; at the end %d requests were served and %d were not\n", alive, served, unserved)
	if version >= 3 {
		return 0, nil
	}
	r.add("check", "CONFIG: the acknowledged version 3 was not read back within %v", readLimit)
	return 1, nil
}

// hasEnded reports whether the process of the machine has ended.
func (m *machine) hasEnded() bool {
	select {
	case <-m.end():
		return true
	default:
		return false
	}
}

// replaceCore removes the core machine that runs for longest, for good, and adds another one at a new
// address, with an empty disk.
func (f *fleet) replaceCore() error {
	removed := 0
	for removed < len(f.cores) && f.cores[removed].hasEnded() {
		removed++
	}
	old := f.cores[removed]
	old.signal(syscall.SIGKILL)
	<-old.end()
	f.record.add("platform", "%s is gone for good", old.name)
	time.Sleep(successorDelay)
	number := len(f.cores) + 1
	successor := &machine{fleet: f, name: fmt.Sprintf("core-%d", number), ip: fmt.Sprintf("%s.%d", old.ip[:lastDot(old.ip)], number), zone: old.zone, role: "controller", started: 1}
	f.cores = append(f.cores, successor)
	return successor.start()
}

func lastDot(text string) int {
	for i := len(text) - 1; i >= 0; i-- {
		if text[i] == '.' {
			return i
		}
	}
	return 0
}

// readBack reads the configuration as the operator does at the end, and returns its version; zero if
// it does not come.
func (f *fleet) readBack(ctx context.Context, limit time.Duration) (version uint64) {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(limit); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(300 * time.Millisecond) {
		for _, core := range f.cores {
			if core.hasEnded() {
				continue
			}
			response, err := client.Get("http://" + core.control() + "/config/get")
			if err != nil {
				f.record.add("operator", "reads the configuration at %s: %v", core.name, err)
				continue
			}
			content, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			f.record.add("operator", "reads the configuration at %s: status %d", core.name, response.StatusCode)
			var read struct {
				Version uint64 `json:"version"`
			}
			if response.StatusCode == http.StatusOK && json.Unmarshal(content, &read) == nil {
				f.record.add("operator", "read version %d", read.Version)
				return read.Version
			}
		}
	}
	return 0
}
