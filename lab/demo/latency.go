package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/quartzdock/quartzdock/lab/backend"
	"github.com/quartzdock/quartzdock/lab/deployment"
	"github.com/quartzdock/quartzdock/lab/fleet"
	"github.com/quartzdock/quartzdock/lab/load"
)

// Measurement of the latency that the way through router and agent adds.
const (
	latencyCallers  = 4
	latencyRequests = 500
	latencyKeys     = 64
	highestMicros   = 10_000_000
	histogramDigits = 3
)

// latencies of look-ups without work, through a router and directly to an
// unfenced stand-in.
type latencies struct {
	routed *hdrhistogram.Histogram
	direct *hdrhistogram.Histogram
}

// measureLatency sends the same look-ups both ways, turn by turn, so that both
// meet the same load of the machine.
func measureLatency(ctx context.Context, running *fleet.Fleet, service deployment.Service) (latencies, error) {
	server, err := backend.Start(backend.Config{
		Name: "direct", Listen: "127.0.0.1:0", Unfenced: true,
		Slots: int(service.Backend.Slots), Connections: int(service.Backend.Connections),
	})
	if err != nil {
		return latencies{}, err
	}
	defer server.Stop(ctx)
	routed := "http://" + running.RouterAddresses()[0]
	direct := "http://" + server.Address()
	result := latencies{routed: newHistogram(), direct: newHistogram()}
	var mutex sync.Mutex
	var first error
	var all sync.WaitGroup
	for range latencyCallers {
		all.Go(func() {
			err := compareWays(routed, direct, service, &mutex, result)
			mutex.Lock()
			defer mutex.Unlock()
			if first == nil {
				first = err
			}
		})
	}
	all.Wait()
	return result, first
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestMicros, histogramDigits)
}

func compareWays(routed, direct string, service deployment.Service, mutex *sync.Mutex, result latencies) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	operation := service.Operations[0]
	for number := range latencyRequests {
		path := fmt.Sprintf("/%s/%s/%s?bytes=%d",
			service.Name, operation.Name, load.KeyName(number%latencyKeys), operation.AnswerBytes)
		throughRouter, err := timeGet(client, routed+path)
		if err != nil {
			return err
		}
		straight, err := timeGet(client, direct+path)
		if err != nil {
			return err
		}
		mutex.Lock()
		result.routed.RecordValue(throughRouter.Microseconds())
		result.direct.RecordValue(straight.Microseconds())
		mutex.Unlock()
	}
	return nil
}

func timeGet(client *http.Client, url string) (time.Duration, error) {
	started := time.Now()
	response, err := client.Get(url)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("%s: %s", url, response.Status)
	}
	return time.Since(started), nil
}
