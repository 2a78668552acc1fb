package admin

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v4"
	"google.golang.org/protobuf/types/known/timestamppb"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
)

// shardCommands returns "shard list".
func (s *session) shardCommands() *ff.Command {
	var owner string
	flags := func(flags *ff.FlagSet) {
		flags.StringVar(&owner, 0, "owner", "", "only those of this back end")
	}
	list := s.newCommand("list", "list who owns which range of a service's keys", []string{"SERVICE"}, flags,
		func(ctx context.Context, args []string) error {
			response, err := s.allShards(ctx, args[0], owner)
			if err != nil {
				return err
			}
			return s.print(response, func(out io.Writer) error {
				writeAge(out, response.GetAge())
				return shardTable(response.GetShards()).write(out)
			})
		})
	return s.newGroup("shard", "show ownership", list)
}

// allShards returns all pages of a service's shards as one response.
func (s *session) allShards(ctx context.Context, service, owner string) (*quartzdockv1.ListShardsResponse, error) {
	const pageSize = 10000
	all := new(quartzdockv1.ListShardsResponse)
	for token := ""; ; {
		page, err := read(ctx, s, rpc.ListShards, &quartzdockv1.ListShardsRequest{
			Service: service, Owner: owner, PageSize: pageSize, PageToken: token,
		})
		if err != nil {
			return nil, err
		}
		if all.Age == nil {
			all.Age = page.GetAge()
		}
		all.Shards = append(all.Shards, page.GetShards()...)
		if token = page.GetNextPageToken(); token == "" {
			return all, nil
		}
	}
}

// explainCommands returns "explain key|service".
func (s *session) explainCommands() *ff.Command {
	key := s.newCommand("key", "say where a key's requests go and why", []string{"SERVICE", "KEY"}, nil, s.explainKey)
	service := s.newCommand("service", "show load, moves in progress and the moves that would come next", []string{"SERVICE"}, nil, s.explainService)
	return s.newGroup("explain", "explain routing and placement", key, service)
}

// explainKey prints where the requests of a key are routed.
func (s *session) explainKey(ctx context.Context, args []string) error {
	response, err := readAtLeader(ctx, s, rpc.ExplainKey, &quartzdockv1.ExplainKeyRequest{Service: args[0], Key: args[1]})
	if err != nil {
		return err
	}
	return s.print(response, func(out io.Writer) error {
		writeAge(out, response.GetAge())
		fmt.Fprintf(out, "key %q is at position %s\n%s\n\n", args[1], formatPosition(response.GetPosition()), response.GetSummary())
		if err := shardTable([]*quartzdockv1.Shard{response.GetShard()}).write(out); err != nil {
			return err
		}
		fmt.Fprintln(out)
		return historyTable(response.GetHistory()).write(out)
	})
}

// explainService prints the load of a service's back ends and its moves.
func (s *session) explainService(ctx context.Context, args []string) error {
	response, err := read(ctx, s, rpc.ExplainService, &quartzdockv1.ExplainServiceRequest{Service: args[0]})
	if err != nil {
		return err
	}
	return s.print(response, func(out io.Writer) error {
		writeAge(out, response.GetAge())
		if err := loadTable(response.GetLoads()).write(out); err != nil {
			return err
		}
		fmt.Fprintln(out)
		return moveTable(response).write(out)
	})
}

// shiftCommands returns "shift mark|list".
func (s *session) shiftCommands() *ff.Command {
	return s.newGroup("shift", "announce that keys will run hot", s.markShiftCommand(), s.listShiftsCommand())
}

// markShiftCommand returns the command that announces a load shift.
func (s *session) markShiftCommand() *ff.Command {
	var m mutationFlags
	var keys []string
	var in, length time.Duration
	var slots float64
	flags := func(flags *ff.FlagSet) {
		m.declare(flags)
		flags.StringListVar(&keys, 0, "key", "key that will run hot; repeat for more")
		flags.DurationVar(&in, 0, "in", 0, "time from now to the start")
		flags.DurationVar(&length, 0, "for", time.Hour, "time from the start to the end")
		flags.Float64Var(&slots, 0, "expected-slots", 0, "load of all the keys together, in slots")
	}
	return s.newCommand("mark", "announce that keys of a service will run hot", []string{"SERVICE"}, flags,
		func(ctx context.Context, args []string) error {
			start := time.Now().Add(in)
			return change(ctx, s, &m, rpc.MarkLoadShift, func(mutation *quartzdockv1.Mutation) *quartzdockv1.MarkLoadShiftRequest {
				return &quartzdockv1.MarkLoadShiftRequest{
					Mutation: mutation, Service: args[0], Keys: keys, ExpectedSlots: slots,
					Start: timestamppb.New(start), End: timestamppb.New(start.Add(length)),
				}
			})
		})
}

// listShiftsCommand returns the command that lists announced load shifts.
func (s *session) listShiftsCommand() *ff.Command {
	var service string
	flags := func(flags *ff.FlagSet) {
		flags.StringVar(&service, 0, "service", "", "only those of this service")
	}
	return s.newCommand("list", "list announced shifts of load", nil, flags, func(ctx context.Context, _ []string) error {
		response, err := read(ctx, s, rpc.ListLoadShifts, &quartzdockv1.ListLoadShiftsRequest{Service: service})
		if err != nil {
			return err
		}
		return s.print(response, func(out io.Writer) error {
			writeAge(out, response.GetAge())
			return shiftTable(response.GetShifts()).write(out)
		})
	})
}
