package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"
)

func init() { runCases["drain-start"] = runDrainStart }

// leader returns the core machine that answers for the group itself, or nil.
func (f *fleet) leader() *machine {
	client := &http.Client{Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for _, core := range f.cores {
		response, err := client.Get("http://" + core.control() + "/config/get")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return core
		}
	}
	return nil
}

// runDrainStart shows a back end whose acknowledged deregistration is forgotten as its gateway
// has just started and has not heard the leader yet, which stands still for a moment.
func runDrainStart(ctx context.Context, r *record, folder string, trouble bool) (int, error) {
	f, backends, c, runs, stop, err := startDrainFleet(ctx, r, folder)
	if err != nil {
		return 0, err
	}
	defer f.stopAll()
	defer stop()
	breaks := 0
	for _, m := range f.sides[:4] {
		b := backends[m]
		m.signal(syscall.SIGKILL)
		<-m.end()
		time.Sleep(restartDelay)
		leader := f.leader()
		if leader == nil {
			return 0, fmt.Errorf("no leader")
		}
		b.mutex.Lock()
		b.silent = true
		b.mutex.Unlock()
		if trouble {
			leader.signal(syscall.SIGSTOP)
		}
		if err := m.start(); err != nil {
			return 0, err
		}
		begun := time.Now()
		for time.Since(begun) < time.Second {
			connection, err := net.DialTimeout("tcp", m.control(), 100*time.Millisecond)
			if err == nil {
				_ = connection.Close()
				break
			}
			time.Sleep(2 * time.Millisecond)
		}
		if !trouble {
			time.Sleep(time.Second)
		}
		acknowledged, ok := b.deregister()
		if trouble {
			leader.signal(syscall.SIGCONT)
		}
		r.add("check", "deregistration %.0f ms after the start", float64(acknowledged.Sub(begun).Milliseconds()))
		breaks += leaveAfter(r, c, runs, b, acknowledged, ok)
	}
	return breaks, nil
}
