package hollow

import (
	"context"
	"fmt"
	"time"
)

// workerSamples are those of both roles at about the same time.
type workerSamples struct{ agents, routers, single Sample }

func (f *hollowFleet) sampleWorkers() (workerSamples, error) {
	var samples workerSamples
	for i, sample := range []*Sample{&samples.agents, &samples.routers, &samples.single} {
		answer, err := f.workers()[i].ask(order{Sample: &sampleOrder{}})
		if err != nil {
			return workerSamples{}, err
		}
		*sample = *answer.Sample
	}
	return samples, nil
}

// snapshot is the usage of all processes at one time.
type snapshot struct {
	at          time.Time
	workers     workerSamples
	controllers []Usage
}

func (f *hollowFleet) snapshot() (snapshot, error) {
	taken := snapshot{at: time.Now()}
	var err error
	if taken.workers, err = f.sampleWorkers(); err != nil {
		return snapshot{}, err
	}
	for _, controller := range f.controllers {
		usage, err := UsageOf(controller.ID())
		if err != nil {
			return snapshot{}, fmt.Errorf("%s: %w", controller.Name, err)
		}
		taken.controllers = append(taken.controllers, usage)
	}
	return taken, f.checkMemory(taken)
}

// checkMemory ends a run that would take more than half of the machine.
func (f *hollowFleet) checkMemory(taken snapshot) error {
	workers := taken.workers
	total := workers.agents.Usage.Resident + workers.routers.Usage.Resident + workers.single.Usage.Resident
	for _, usage := range taken.controllers {
		total += usage.Resident
	}
	machine, err := keyedValue("/proc/meminfo", "MemTotal:")
	if err != nil {
		return err
	}
	if limit := machine << 10 / 2; total > limit {
		return fmt.Errorf("fleet uses %d MB, more than half of the machine (%d MB)", total>>20, limit>>20)
	}
	return nil
}

// NodeCost is what one node of a role costs on average. Processor time is that
// of the hollow part: session, lease, and grants, with tables shared.
type NodeCost struct {
	// Processor is the share of one core.
	Processor float64
	// BytesIn, BytesOut, FramesIn and FramesOut are a second, without packet
	// headers.
	BytesIn, BytesOut, FramesIn, FramesOut float64
	// Packets a second in both directions, bare acknowledgements too, as the
	// kernel counted them.
	Packets float64
}

// packetOverhead is the bytes of the IPv4 and TCP headers of a packet, time
// stamps included (RFC 791, RFC 9293, RFC 7323).
const packetOverhead = 20 + 20 + 12

// OnWire is the bytes a second in both directions with packet headers. Loopback
// takes packets of 64 KB, so what is larger than an Ethernet frame counts too
// few headers: 3.6 % of its bytes are left out.
func (cost NodeCost) OnWire() float64 {
	return cost.BytesIn + cost.BytesOut + cost.Packets*packetOverhead
}

// Steady is what a fleet costs over a window of time.
type Steady struct {
	Window time.Duration
	// Leader and Follower are shares of a core; Follower is the mean of them.
	Leader, Follower float64
	// LeaderResident and FollowerResident are in bytes.
	LeaderResident, FollowerResident uint64
	// LeaderWritten is in bytes a second.
	LeaderWritten float64
	// GroupProcessor is that of all controllers together, in seconds.
	GroupProcessor time.Duration
	Agent, Router  NodeCost
	// Single is one router with a table of its own; SingleMemory and
	// SingleHeap are those of its whole process in bytes.
	Single                   NodeCost
	SingleMemory, SingleHeap uint64
	// SingleCollector is the part of Single.Processor spent on garbage, as a
	// share of one core.
	SingleCollector float64
	// Reconnects of all nodes in the window.
	Reconnects uint64
}

// steady measures the fleet over a window, in which during runs.
func (f *hollowFleet) steady(ctx context.Context, window time.Duration, during func(ctx context.Context) error) (Steady, error) {
	leader, err := f.operator.leader(ctx)
	if err != nil {
		return Steady{}, err
	}
	before, err := f.snapshot()
	if err != nil {
		return Steady{}, err
	}
	if during != nil {
		if err := during(ctx); err != nil {
			return Steady{}, err
		}
	}
	select {
	case <-time.After(time.Until(before.at.Add(window))):
	case <-ctx.Done():
		return Steady{}, ctx.Err()
	}
	after, err := f.snapshot()
	if err != nil {
		return Steady{}, err
	}
	return compare(before, after, leader), nil
}

func compare(before, after snapshot, leader int) Steady {
	window := after.at.Sub(before.at)
	result := Steady{
		Window: window,
		Agent:  nodeCost(before.workers.agents, after.workers.agents),
		Router: nodeCost(before.workers.routers, after.workers.routers),
		Single: nodeCost(before.workers.single, after.workers.single),

		SingleMemory: after.workers.single.Usage.Resident,
		SingleHeap:   after.workers.single.Runtime.Heap,
	}
	collector := after.workers.single.Runtime.Collector - before.workers.single.Runtime.Collector
	result.SingleCollector = collector.Seconds() / window.Seconds()
	followers := float64(len(after.controllers) - 1)
	for i, now := range after.controllers {
		spent := now.Processor - before.controllers[i].Processor
		result.GroupProcessor += spent
		if i == leader {
			result.Leader = spent.Seconds() / window.Seconds()
			result.LeaderResident = now.Resident
			result.LeaderWritten = float64(now.Written-before.controllers[i].Written) / window.Seconds()
			continue
		}
		result.Follower += spent.Seconds() / window.Seconds() / followers
		result.FollowerResident += now.Resident / uint64(followers)
	}
	sessions := func(s workerSamples) uint64 { return s.agents.Sessions.Sessions + s.routers.Sessions.Sessions }
	result.Reconnects = sessions(after.workers) - sessions(before.workers)
	return result
}

func nodeCost(before, after Sample) NodeCost {
	window := after.At.Sub(before.At).Seconds()
	perNode := 1 / window / float64(max(after.Nodes, 1))
	rate := func(before, after uint64) float64 { return float64(after-before) * perNode }
	return NodeCost{
		Processor: (after.Processor - before.Processor).Seconds() * perNode,
		BytesIn:   rate(before.Sessions.BytesReceived, after.Sessions.BytesReceived),
		BytesOut:  rate(before.Sessions.BytesSent, after.Sessions.BytesSent),
		FramesIn:  rate(before.Sessions.FramesReceived, after.Sessions.FramesReceived),
		FramesOut: rate(before.Sessions.FramesSent, after.Sessions.FramesSent),
		Packets:   rate(before.Packets.In+before.Packets.Out, max(after.Packets.In+after.Packets.Out, before.Packets.In+before.Packets.Out)),
	}
}
