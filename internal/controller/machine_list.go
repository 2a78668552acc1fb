package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

const (
	// machineListTimeout and machineListBytes limit one request.
	machineListTimeout = time.Second
	machineListBytes   = 8 << 20
)

// machine is an entry of the platform's machine list.
type machine struct {
	// Backend is the name of the back end that runs on the machine.
	Backend string `json:"backend"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

const machineLeaving = "leaving"

// pollMachineList polls the platform's machine list while this controller
// leads.
func (c *Controller) pollMachineList(ctx context.Context) {
	if c.config.MachineListURL == "" {
		return
	}
	timer := time.NewTicker(c.config.MachineListInterval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if status := c.replica.Status(); !status.IsLeader(c.replica.Now()) {
			continue
		}
		machines, err := readMachineList(ctx, c.config.MachineListURL)
		if err != nil {
			c.metrics.failedMachineLists.Inc()
			continue
		}
		c.replica.Post(func() { c.updateMachineList(machines) })
	}
}

func readMachineList(ctx context.Context, url string) ([]machine, error) {
	ctx, cancel := context.WithTimeout(ctx, machineListTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("machine list: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("machine list: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("machine list: %s", response.Status)
	}
	var machines []machine
	err = json.NewDecoder(io.LimitReader(response.Body, machineListBytes)).Decode(&machines)
	if err != nil {
		return nil, fmt.Errorf("machine list: %w", err)
	}
	return machines, nil
}

// updateMachineList tells the coordinator which back ends run on machines that
// are about to be removed.
func (c *Controller) updateMachineList(machines []machine) {
	leavingNames := make(map[string]bool)
	for _, entry := range machines {
		if entry.State == machineLeaving {
			leavingNames[entry.Backend] = true
		}
	}
	var leaving []topology.BackendID
	for _, backend := range c.state.Backends() {
		if leavingNames[backend.Name] {
			leaving = append(leaving, backend.ID)
		}
	}
	c.coordinator.SetLeavingMachines(leaving, c.replica.Now())
}
