package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { runCases["memory"] = runMemory }

const (
	// memoryLimit is the limit of a process, as its settings name it.
	memoryLimit = 284 << 20
	// uploadBytes is the body of one upload; limits.maxBodyBytes allows 64 MiB.
	uploadBytes = 40 << 20
	// uploadsAtOnce are sent together to a machine.
	uploadsAtOnce = 8
	uploadRounds  = 3
	// endsAllowed is the number of ends on one machine from which it counts.
	endsAllowed = 3
)

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		var kilobytes int64
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); err == nil {
			return kilobytes << 10
		}
	}
	return 0
}

// enforceMemory kills the process of a machine whenever it exceeds its limit, and starts it again,
// as the platform does. It returns how often it did so, and the highest use that it saw.
func (m *machine) enforceMemory(ctx context.Context) (ends int, highest int64) {
	for ; ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		m.mutex.Lock()
		pid := m.command.Process.Pid
		m.mutex.Unlock()
		used := residentBytes(pid)
		highest = max(highest, used)
		if used <= memoryLimit {
			continue
		}
		ends++
		m.fleet.record.add("platform", "%s uses %d MiB of %d MiB", m.name, used>>20, memoryLimit>>20)
		m.signal(syscall.SIGKILL)
		<-m.end()
		time.Sleep(restartDelay)
		if m.start() != nil {
			return ends, highest
		}
	}
	return ends, highest
}

// runMemory shows processes that exceed their memory while clients upload bodies within the limits.
func runMemory(ctx context.Context, r *record, folder string, trouble bool) (int, error) {
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
	watching, stop := context.WithCancel(ctx)
	var watches sync.WaitGroup
	ends := make([]int, len(f.sides))
	for i, m := range f.sides {
		watches.Go(func() {
			var highest int64
			ends[i], highest = m.enforceMemory(watching)
			r.add("check", "%s exceeded its memory %d times; it used %d MiB at most", m.name, ends[i], highest>>20)
			fmt.Printf("%s exceeded its memory %d times; it used %d MiB at most\n", m.name, ends[i], highest>>20)
		})
	}
	kind := requestKind{method: "POST", host: "jepu9.example", path: "/puka111/2f", body: strings.Repeat("x", uploadBytes), deadline: 2500 * time.Millisecond}
	small := kind
	small.body = "closure"
	streaming, stopStream := context.WithCancel(ctx)
	c.stream(streaming, 30, small)
	for range uploadRounds {
		for _, m := range f.sides[:2] {
			var uploads sync.WaitGroup
			for range uploadsAtOnce {
				upload := func() { c.send(m, kind) }
				if !trouble {
					upload()
					continue
				}
				uploads.Go(upload)
			}
			uploads.Wait()
		}
		time.Sleep(6 * time.Second)
	}
	stopStream()
	c.running.Wait()
	stop()
	watches.Wait()
	machines := 0
	for _, count := range ends {
		if count >= endsAllowed {
			machines++
		}
	}
	if machines < 2 {
		return 0, nil
	}
	return machines, nil
}
