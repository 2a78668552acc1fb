package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// backend is a stand-in of one life of a back end beside a machine.
type backend struct {
	machine *machine
	id      string
	// work is how long it works on a request, and size gives the length of the answer for a path.
	work     time.Duration
	size     func(path string) int
	slots    chan struct{}
	sequence atomic.Int64
	runs     atomic.Int64
	server   *http.Server
}

const (
	slotCount = 18
	heartbeat = 1300 * time.Millisecond
)

// startBackend serves a back end and sends its heartbeats until the context ends.
func startBackend(ctx context.Context, m *machine, id string, work time.Duration, size func(string) int) *backend {
	b := &backend{machine: m, id: id, work: work, size: size, slots: make(chan struct{}, slotCount)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", b.health)
	mux.HandleFunc("/", b.serve)
	b.server = &http.Server{Addr: m.app(), Handler: mux}
	go func() { _ = b.server.ListenAndServe() }()
	go func() {
		<-ctx.Done()
		_ = b.server.Close()
	}()
	go b.beat(ctx)
	return b
}

func (b *backend) health(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", b.id) }

// serve runs one request.
func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != b.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	b.slots <- struct{}{}
	defer func() { <-b.slots }()
	b.runs.Add(1)
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Response-Seal", "seal-"+id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", len(b.slots), slotCount))
	w.Header().Set("Content-Type", "application/octet-stream")
	size := b.size(r.URL.Path)
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = w.Write(bytes.Repeat([]byte("m"), size))
}

// beat sends heartbeats; one that fails is sent again soon.
func (b *backend) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		pause := heartbeat
		body := fmt.Sprintf(`{"address":%q,"info":{"service":%q,"version":"v1","zone":"hall-a","slots":%d},"status":{"state":"ready","sequence":%d,"warmupLeft":"0ms"}}`,
			b.machine.app(), b.machine.service, slotCount, b.sequence.Add(1))
		response, err := client.Post("http://"+b.machine.control()+"/instances/"+b.id+"/heartbeat", "application/json", bytes.NewReader([]byte(body)))
		if err != nil {
			pause = heartbeat / 10
		} else {
			_ = response.Body.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// awaitReady waits until the machines answer their readiness question with 200.
func awaitReady(limit time.Duration, machines ...*machine) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range machines {
			response, err := client.Get("http://" + m.address(m.fleet.ports.ready) + "/readiness")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(machines) {
			return nil
		}
	}
	return fmt.Errorf("the machines are not ready after %v", limit)
}
