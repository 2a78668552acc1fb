package hollow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/subscription"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/transport"
)

// worker holds the nodes of one worker process.
type worker struct {
	group       topology.GroupID
	controllers []string
	started     time.Time
	tables      *sharedTables // nil gives each node its own
	loads       *loadSource
	nodes       map[string]*node
	// ended sums what stopped nodes counted.
	ended    subscription.Statistics
	reverted uint64
}

// runWorker takes orders from the tool at an address until it closes.
func runWorker(ctx context.Context, tool string) error {
	conn, err := transport.Dial(ctx, tool, transport.Options{IdleTimeout: -1})
	if err != nil {
		return fmt.Errorf("worker: %w", err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	w := &worker{started: time.Now(), nodes: make(map[string]*node)}
	defer w.stopAll()
	for {
		var next order
		if err := conn.Receive(&next); errors.Is(err, io.EOF) || ctx.Err() != nil {
			return nil
		} else if err != nil {
			return fmt.Errorf("worker: %w", err)
		}
		if err := conn.Send(w.carryOut(next)); err != nil {
			return fmt.Errorf("worker: %w", err)
		}
	}
}

// clock is the monotonic clock of all the worker's nodes.
func (w *worker) clock() time.Duration { return time.Since(w.started) }

func (w *worker) carryOut(next order) reply {
	switch {
	case next.Configure != nil:
		w.configure(*next.Configure)
	case next.Start != nil:
		return replyOf(w.start(*next.Start))
	case next.Stop != nil:
		w.stop(next.Stop.Names)
	case next.Freeze != nil:
		w.each(next.Freeze.Names, func(n *node) { n.frozen.close() })
	case next.Thaw != nil:
		w.each(next.Thaw.Names, func(n *node) { n.frozen.open() })
	case next.Sample != nil:
		return w.sample()
	case next.Reached != nil:
		return w.reached(next.Reached.Revision)
	case next.Watch != nil:
		w.watch(next.Watch.Lost)
	case next.Watched != nil:
		return w.watched()
	case next.Claims != nil:
		return reply{Claims: w.claims()}
	case next.SetHot != nil:
		w.loads.setHot(next.SetHot.Shards)
	}
	return reply{}
}

func replyOf(err error) reply {
	if err != nil {
		return reply{Error: err.Error()}
	}
	return reply{}
}

func (w *worker) configure(order configureOrder) {
	w.group = order.Group
	w.controllers = order.Controllers
	w.loads = newLoadSource(order.LoadEvery, order.Requests)
	if !order.OwnTables {
		w.tables = newSharedTables()
	}
}

func (w *worker) start(order startOrder) error {
	begin := time.Now()
	for i, spec := range order.Nodes {
		due := begin.Add(order.Spread * time.Duration(i) / time.Duration(len(order.Nodes)))
		time.Sleep(time.Until(due))
		started, err := startNode(spec, w)
		if err != nil {
			return fmt.Errorf("start node %s: %w", spec.Name, err)
		}
		w.nodes[spec.Name] = started
	}
	return nil
}

// each calls do for the named nodes, all for no name.
func (w *worker) each(names []string, do func(n *node)) {
	if len(names) == 0 {
		for _, n := range w.nodes {
			do(n)
		}
		return
	}
	for _, name := range names {
		if n, known := w.nodes[name]; known {
			do(n)
		}
	}
}

// stop ends nodes side by side, as a rack does.
func (w *worker) stop(names []string) {
	var stopping sync.WaitGroup
	var stopped []*node
	w.each(names, func(n *node) {
		stopped = append(stopped, n)
		stopping.Go(n.stop)
	})
	stopping.Wait()
	for _, n := range stopped {
		addStatistics(&w.ended, n.client.Statistics())
		w.reverted += n.reverted.Load()
		delete(w.nodes, n.spec.Name)
	}
}

func (w *worker) stopAll() { w.stop(nil) }

func (w *worker) sample() reply {
	usage, err := UsageOf(os.Getpid())
	if err != nil {
		return replyOf(err)
	}
	packets, err := packetsOfSelf(w.controllers)
	if err != nil {
		return replyOf(err)
	}
	sample := Sample{
		Packets:   packets,
		At:        time.Now(),
		Usage:     usage,
		Runtime:   readRuntime(),
		Processor: processorOfSelf(),
		Nodes:     len(w.nodes),
		Lowest:    math.MaxUint64,
		Reverted:  w.reverted,
		Sessions:  w.ended,
	}
	for _, n := range w.nodes {
		w.addNode(&sample, n)
	}
	sample.Shards = w.shards()
	return reply{Sample: &sample}
}

// shards counts the shards of the newest table.
func (w *worker) shards() int {
	var newest *routing.Table
	for _, n := range w.nodes {
		table := n.client.Table()
		if table != nil && (newest == nil || table.Revision() > newest.Revision()) {
			newest = table
		}
	}
	if newest == nil {
		return 0
	}
	count := 0
	for service := range newest.Services() {
		count += service.ShardCount()
	}
	return count
}

func (w *worker) addNode(sample *Sample, n *node) {
	addStatistics(&sample.Sessions, n.client.Statistics())
	sample.Reverted += n.reverted.Load()
	var revision topology.Revision
	if table := n.client.Table(); table != nil {
		sample.WithTable++
		revision = table.Revision()
	}
	sample.Lowest = min(sample.Lowest, revision)
	sample.Highest = max(sample.Highest, revision)
	if n.holder != nil && n.holder.Valid(w.clock()) {
		sample.Leased++
		if owned := n.owned.Load(); owned != nil {
			sample.Owned += len(*owned)
		}
	}
}

func addStatistics(sum *subscription.Statistics, part subscription.Statistics) {
	sum.Sessions += part.Sessions
	sum.FailedAttempts += part.FailedAttempts
	sum.Redirects += part.Redirects
	sum.Snapshots += part.Snapshots
	sum.Deltas += part.Deltas
	sum.Gaps += part.Gaps
	sum.RefusedReverts += part.RefusedReverts
	sum.Renewals += part.Renewals
	sum.BytesSent += part.BytesSent
	sum.BytesReceived += part.BytesReceived
	sum.FramesSent += part.FramesSent
	sum.FramesReceived += part.FramesReceived
}

func (w *worker) reached(revision topology.Revision) reply {
	var result Reached
	for _, n := range w.nodes {
		if at, ok := n.reached(revision); ok {
			result.Times = append(result.Times, at)
		} else {
			result.Missing++
		}
	}
	return reply{Reached: &result}
}

// watch begins from the table of any node that is not frozen.
func (w *worker) watch(lost []topology.BackendID) {
	if w.tables == nil {
		return
	}
	for _, n := range w.nodes {
		if table := n.client.Table(); table != nil {
			w.tables.startWatch(lost, table)
			return
		}
	}
}

func (w *worker) watched() reply {
	if w.tables == nil {
		return reply{Error: "worker has no shared tables to watch"}
	}
	watch := w.tables.watched()
	return reply{Watched: &Watched{
		Before: watch.before, First: watch.first, Done: watch.done, FirstAt: watch.firstAt, DoneAt: watch.doneAt,
	}}
}

// claims asks each agent for each shard of its table whether it would admit
// work, as the request path does.
func (w *worker) claims() []claim {
	var claims []claim
	for _, n := range w.nodes {
		owned := n.owned.Load()
		if n.holder == nil || owned == nil {
			continue
		}
		for _, shard := range *owned {
			if n.holder.Admits(shard.ID, shard.Epoch, w.clock()) != nil {
				continue
			}
			claims = append(claims, claim{shard.ID, shard.Epoch, topology.BackendID(n.backend.Load()), time.Now()})
		}
	}
	return claims
}
