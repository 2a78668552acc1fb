package admin

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"github.com/peterbourgon/ff/v4"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
)

// controllerCommands returns "controller list|add|promote|remove".
func (s *session) controllerCommands() *ff.Command {
	return s.newGroup("controller", "show and change the members of the controllers' group",
		s.listControllersCommand(), s.addControllerCommand(), s.promoteControllerCommand(), s.removeControllerCommand())
}

// listControllersCommand returns the command that lists the members of the group.
func (s *session) listControllersCommand() *ff.Command {
	return s.newCommand("list", "list the members of the group", nil, nil, func(ctx context.Context, _ []string) error {
		response, err := readAtLeader(ctx, s, rpc.ListControllers, &quartzdockv1.ListControllersRequest{})
		if err != nil {
			return err
		}
		return s.print(response, func(out io.Writer) error {
			writeAge(out, response.GetAge())
			return controllerTable(response.GetControllers()).write(out)
		})
	})
}

// addControllerCommand returns the command that adds a learner.
func (s *session) addControllerCommand() *ff.Command {
	var m mutationFlags
	var peer, session, rpcAddress string
	flags := func(flags *ff.FlagSet) {
		m.declare(flags)
		flags.StringVar(&peer, 0, "peer-address", "", "its peer.listen, IP:port")
		flags.StringVar(&session, 0, "session-address", "", "its session.listen, IP:port")
		flags.StringVar(&rpcAddress, 0, "rpc-address", "", "its rpc.listen, IP:port")
	}
	return s.newCommand("add", "add a controller as a learner, which has no vote", []string{"INCARNATION"}, flags,
		func(ctx context.Context, args []string) error {
			return change(ctx, s, &m, rpc.AddController, func(mutation *quartzdockv1.Mutation) *quartzdockv1.AddControllerRequest {
				return &quartzdockv1.AddControllerRequest{
					Mutation: mutation, Incarnation: args[0],
					PeerAddress: peer, SessionAddress: session, RpcAddress: rpcAddress,
				}
			})
		})
}

// promoteControllerCommand returns the command that makes a learner a voter.
func (s *session) promoteControllerCommand() *ff.Command {
	var m mutationFlags
	return s.newCommand("promote", "give a learner its vote, once it durably holds all that was committed", []string{"ID"}, m.declare,
		func(ctx context.Context, args []string) error {
			id, err := replicaID(args[0])
			if err != nil {
				return err
			}
			return change(ctx, s, &m, rpc.PromoteController, func(mutation *quartzdockv1.Mutation) *quartzdockv1.PromoteControllerRequest {
				return &quartzdockv1.PromoteControllerRequest{Mutation: mutation, Id: id}
			})
		})
}

// removeControllerCommand returns the command that removes a member.
func (s *session) removeControllerCommand() *ff.Command {
	var m mutationFlags
	return s.newCommand("remove", "remove a member; its identity is never used again", []string{"ID"}, m.declare,
		func(ctx context.Context, args []string) error {
			id, err := replicaID(args[0])
			if err != nil {
				return err
			}
			return change(ctx, s, &m, rpc.RemoveController, func(mutation *quartzdockv1.Mutation) *quartzdockv1.RemoveControllerRequest {
				return &quartzdockv1.RemoveControllerRequest{Mutation: mutation, Id: id}
			})
		})
}

// replicaID parses the replica ID of a member.
func replicaID(text string) (uint64, error) {
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil || id == 0 {
		return 0, fmt.Errorf("%w: %q is not a replica's ID as in controller list", ErrUsage, text)
	}
	return id, nil
}
