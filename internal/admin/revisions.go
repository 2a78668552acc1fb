package admin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v4"
	"google.golang.org/protobuf/types/known/durationpb"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
)

// revisionCommand returns the command that shows the newest revision.
func (s *session) revisionCommand() *ff.Command {
	return s.newCommand("revision", "show the newest committed revision", nil, nil, func(ctx context.Context, _ []string) error {
		response, err := read(ctx, s, rpc.GetRevision, &quartzdockv1.GetRevisionRequest{})
		if err != nil {
			return err
		}
		return s.print(response, func(out io.Writer) error {
			writeAge(out, response.GetAge())
			fmt.Fprintf(out, "configuration revision %d by %s\nleader %s\n",
				response.GetConfigurationRevision(), authorName(response.GetAuthor()), response.GetLeaderRpcAddress())
			return nil
		})
	})
}

// subscribersCommand returns the command that shows which revision each process
// has applied.
func (s *session) subscribersCommand() *ff.Command {
	var lagging bool
	flags := func(flags *ff.FlagSet) {
		flags.BoolVar(&lagging, 0, "lagging", "only those that have an older revision than the newest")
	}
	return s.newCommand("subscribers", "show which routers and agents have which revision in force", nil, flags,
		func(ctx context.Context, _ []string) error {
			response, err := readAtLeader(ctx, s, rpc.ListSubscribers, &quartzdockv1.ListSubscribersRequest{LaggingOnly: lagging})
			if err != nil {
				return err
			}
			return s.print(response, func(out io.Writer) error {
				writeAge(out, response.GetAge())
				return subscriberTable(response.GetSubscribers()).write(out)
			})
		})
}

// waitCommand returns the command that waits until a revision is in force
// everywhere.
func (s *session) waitCommand() *ff.Command {
	var limit time.Duration
	flags := func(flags *ff.FlagSet) {
		flags.DurationVar(&limit, 0, "at-most", 10*time.Second, "longest wait; 60s at most")
	}
	return s.newCommand("wait", "wait until a revision is in force everywhere", []string{"REVISION"}, flags,
		func(ctx context.Context, args []string) error {
			revision, err := parseRevision(args[0])
			if err != nil {
				return err
			}
			response, err := read(ctx, s, rpc.WaitInForce, &quartzdockv1.WaitInForceRequest{
				Revision: revision, Timeout: durationpb.New(limit),
			})
			if err != nil {
				return err
			}
			if s.settings.JSON {
				if err := writeJSON(s.out, response); err != nil {
					return err
				}
			}
			return s.printInForce(response.GetInForce())
		})
}

// parseRevision parses a revision number.
func parseRevision(text string) (uint64, error) {
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %q is not a revision", ErrUsage, text)
	}
	return revision, nil
}

// watchCommand returns the command that prints each change when it is made.
func (s *session) watchCommand() *ff.Command {
	var service string
	var after uint64
	flags := func(flags *ff.FlagSet) {
		flags.StringVar(&service, 0, "service", "", "only changes of this service")
		flags.Uint64Var(&after, 0, "after", 0, "changes after this revision; 0 starts with the present state")
	}
	return s.newCommand("watch", "print every change from now on, until interrupted", nil, flags,
		func(ctx context.Context, _ []string) error { return s.watch(ctx, service, after) })
}

// watch prints the stream of changes and reconnects after an interruption.
func (s *session) watch(ctx context.Context, service string, after uint64) error {
	for {
		last, err := s.watchOnce(ctx, service, after)
		after = max(after, last)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil && !s.client.prepareRetry(err) {
			return explainError(err, "")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(retryInterval):
		}
	}
}

// watchOnce prints changes until the stream ends, and returns the last revision
// that it received.
func (s *session) watchOnce(ctx context.Context, service string, after uint64) (last uint64, err error) {
	request := connect.NewRequest(&quartzdockv1.WatchRequest{AfterRevision: after, Service: service})
	stream, err := s.client.service().Watch(ctx, request)
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, stream.Close()) }()
	for stream.Receive() {
		message := stream.Msg()
		last = message.GetRevision()
		if err := s.print(message, func(out io.Writer) error { return writeChange(out, message) }); err != nil {
			return last, err
		}
	}
	return last, stream.Err()
}

// writeChange prints one change, with a line for each changed object.
func writeChange(out io.Writer, change *quartzdockv1.WatchResponse) error {
	kind := "change"
	if change.GetSnapshot() {
		kind = "state"
	}
	fmt.Fprintf(out, "%s revision %d %s\n", formatTime(change.GetTime().AsTime()), change.GetRevision(), kind)
	for _, service := range change.GetServices() {
		fmt.Fprintf(out, "  service %s\n", service.GetName())
	}
	for _, id := range change.GetRemovedServiceIds() {
		fmt.Fprintf(out, "  service number %d deleted\n", id)
	}
	for _, backend := range change.GetBackends() {
		fmt.Fprintf(out, "  back end %s/%s %s\n", backend.GetService(), backend.GetName(), formatEnum(backend.GetState(), "BACKEND_STATE_"))
	}
	for _, shard := range change.GetShards() {
		fmt.Fprintf(out, "  shard %s %s owner=%s target=%s epoch=%d\n", shardName(shard),
			formatEnum(shard.GetPhase(), "SHARD_PHASE_"), shard.GetOwner(), shard.GetTarget(), shard.GetEpoch())
	}
	for _, id := range change.GetRemovedBackendIds() {
		fmt.Fprintf(out, "  back end number %d removed\n", id)
	}
	for _, shard := range change.GetRemovedShards() {
		fmt.Fprintf(out, "  shard %d/%d merged into its neighbour\n", shard.GetServiceId(), shard.GetNumber())
	}
	return nil
}
