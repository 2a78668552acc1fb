package admin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/user"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
	"github.com/quartzdock/quartzdock/api/quartzdock/v1/quartzdockv1connect"
	"github.com/quartzdock/quartzdock/internal/settings"
)

// ErrUsage marks an error in the arguments of a command.
var ErrUsage = errors.New("usage")

// ErrNotInForce is returned if a change was accepted but is not in force everywhere
// at the end of the wait.
var ErrNotInForce = errors.New("not yet in force everywhere")

// session holds the state of one command-line invocation.
type session struct {
	overrides *settings.Overrides
	out       io.Writer
	settings  settings.Admin
	client    *Client
}

// open loads the settings and creates the client.
func (s *session) open() error {
	loader := &settings.Loader{File: s.overrides.Config, Overrides: s.overrides}
	if _, err := loader.Load(&s.settings); err != nil {
		return err
	}
	client, err := NewClient(&s.settings)
	s.client = client
	return err
}

// author returns the name to record as the author of a change: that of the
// settings or else of the operating system's user.
func (s *session) author() string {
	if s.settings.Author != "" {
		return s.settings.Author
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return ""
}

// print prints an answer as JSON or with asTable, depending on the settings.
func (s *session) print(answer proto.Message, asTable func(io.Writer) error) error {
	if s.settings.JSON {
		return writeJSON(s.out, answer)
	}
	return asTable(s.out)
}

// newCommand returns a command with the flags of the settings and those that
// declare adds. The command takes exactly the named arguments, with flags before
// or after them.
func (s *session) newCommand(name, help string, arguments []string, declare func(*ff.FlagSet), exec func(context.Context, []string) error) *ff.Command {
	leading, trailing := ff.NewFlagSet(name), ff.NewFlagSet(name)
	if declare != nil {
		declare(leading)
		declare(trailing)
	}
	trailing.SetParent(s.overrides.Flags())
	return &ff.Command{
		Name:      name,
		Usage:     strings.Join(append([]string{name}, arguments...), " ") + " [FLAGS]",
		ShortHelp: help,
		Flags:     leading.SetParent(s.overrides.Flags()),
		Exec: func(ctx context.Context, args []string) error {
			count := min(len(arguments), len(args))
			if err := trailing.Parse(args[count:]); err != nil {
				return fmt.Errorf("%w: %w", ErrUsage, err)
			}
			if rest := trailing.GetArgs(); count < len(arguments) || len(rest) > 0 {
				return fmt.Errorf("%w: %s takes the arguments %v, got %q", ErrUsage, name, arguments, args)
			}
			if err := s.open(); err != nil {
				return err
			}
			return exec(ctx, args[:count])
		},
	}
}

// newGroup returns a command that only has subcommands.
func (s *session) newGroup(name, help string, commands ...*ff.Command) *ff.Command {
	return &ff.Command{
		Name:        name,
		Usage:       name + " SUBCOMMAND ...",
		ShortHelp:   help,
		Flags:       ff.NewFlagSet(name).SetParent(s.overrides.Flags()),
		Subcommands: commands,
	}
}

// read makes a read-only call.
func read[Request, Response any](ctx context.Context, s *session, invoke rpcMethod[Request, Response], request *Request) (*Response, error) {
	bounded, cancel := context.WithTimeout(ctx, s.settings.Timeout+requestedWait(request))
	defer cancel()
	response, err := call(bounded, s.client, invoke, request)
	return response, explainError(err, "")
}

// readAtLeader is like read, for calls that only the leader can answer completely.
// If no leader is known, it accepts the answer of any controller.
func readAtLeader[Request, Response any](ctx context.Context, s *session, invoke rpcMethod[Request, Response], request *Request) (*Response, error) {
	revision, err := read(ctx, s, quartzdockv1connect.AdminServiceClient.GetRevision, &quartzdockv1.GetRevisionRequest{})
	if err != nil {
		return nil, err
	}
	if leader := revision.GetLeaderRpcAddress(); leader != "" {
		s.client.nextAddress = leader
	}
	return read(ctx, s, invoke, request)
}

// mutationFlags are the flags of all commands that make a change.
type mutationFlags struct {
	expectedRevision int
	requestID        string
	dryRun           bool
	wait             time.Duration
}

// currentRevision is the default of --expected-revision, which reads the current
// revision.
const currentRevision = -1

// declare adds the flags.
func (m *mutationFlags) declare(flags *ff.FlagSet) {
	flags.IntVar(&m.expectedRevision, 0, "expected-revision", currentRevision, "configuration revision that you have seen; -1 reads it now")
	flags.StringVar(&m.requestID, 0, "request-id", "", "id of the change, to send it again after a lost answer; empty makes a new one")
	flags.BoolVar(&m.dryRun, 0, "dry-run", "check everything, change nothing")
	flags.DurationVar(&m.wait, 0, "wait", 0, "wait until the change is in force everywhere, at most this long")
}

// mutation returns the part that the requests of all changes have in common.
func (m *mutationFlags) mutation(ctx context.Context, s *session) (*quartzdockv1.Mutation, error) {
	mutation := &quartzdockv1.Mutation{RequestId: m.requestID, Author: s.author(), DryRun: m.dryRun}
	if mutation.RequestId == "" {
		mutation.RequestId = newRequestID()
	}
	if m.wait > 0 {
		mutation.WaitInForce = durationpb.New(m.wait)
	}
	if m.expectedRevision != currentRevision {
		mutation.ExpectedRevision = uint64(m.expectedRevision)
		return mutation, nil
	}
	revision, err := read(ctx, s, quartzdockv1connect.AdminServiceClient.GetRevision, &quartzdockv1.GetRevisionRequest{})
	mutation.ExpectedRevision = revision.GetConfigurationRevision()
	return mutation, err
}

// change makes a call that changes the configuration and prints the result.
func change[Request, Response any](ctx context.Context, s *session, m *mutationFlags, invoke rpcMethod[Request, Response], build func(*quartzdockv1.Mutation) *Request) error {
	mutation, err := m.mutation(ctx, s)
	if err != nil {
		return err
	}
	request := build(mutation)
	bounded, cancel := context.WithTimeout(ctx, s.settings.Timeout+requestedWait(request))
	defer cancel()
	response, err := call(bounded, s.client, invoke, request)
	if err != nil {
		return explainError(err, mutation.GetRequestId())
	}
	return s.printResult(any(response).(mutationResponse), mutation)
}

// mutationResponse is implemented by the responses to all changes.
type mutationResponse interface {
	proto.Message
	GetResult() *quartzdockv1.MutationResult
}

// printResult prints the revision of a change and whether it is in force.
func (s *session) printResult(response mutationResponse, mutation *quartzdockv1.Mutation) error {
	result := response.GetResult()
	err := s.print(response, func(out io.Writer) error {
		switch {
		case mutation.GetDryRun():
			fmt.Fprintf(out, "would be accepted at revision %d; nothing was changed\n", result.GetRevision())
		case result.GetRepeated():
			fmt.Fprintf(out, "already accepted at revision %d (request %s)\n", result.GetRevision(), mutation.GetRequestId())
		default:
			fmt.Fprintf(out, "accepted at revision %d (request %s)\n", result.GetRevision(), mutation.GetRequestId())
		}
		printDetails(out, response)
		return nil
	})
	if err != nil || result.GetInForce() == nil {
		return err
	}
	return s.printInForce(result.GetInForce())
}

// printDetails prints the additional fields of some responses.
func printDetails(out io.Writer, response mutationResponse) {
	switch response := response.(type) {
	case *quartzdockv1.DrainBackendResponse:
		fmt.Fprintf(out, "it still owns %d shard(s)\n", response.GetOwnedShards())
	case *quartzdockv1.AddControllerResponse:
		fmt.Fprintf(out, "the controller is replica %d, a learner until it is promoted\n", response.GetId())
	case *quartzdockv1.MarkLoadShiftResponse:
		fmt.Fprintf(out, "load shift %d covers shards %v\n", response.GetShift().GetId(), response.GetShift().GetShards())
	}
}

// printInForce prints that a revision is in force everywhere, or else prints the
// lagging subscribers and returns ErrNotInForce.
func (s *session) printInForce(inForce *quartzdockv1.InForce) error {
	if inForce.GetEverywhere() {
		if !s.settings.JSON {
			fmt.Fprintf(s.out, "revision %d is in force everywhere\n", inForce.GetRevision())
		}
		return nil
	}
	if !s.settings.JSON {
		if err := subscriberTable(inForce.GetLagging()).write(s.out); err != nil {
			return err
		}
	}
	return fmt.Errorf("revision %d: %w: %d lagging", inForce.GetRevision(), ErrNotInForce, len(inForce.GetLagging()))
}
