package admin

import (
	"context"
	"io"

	"github.com/peterbourgon/ff/v4"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
)

// backendArguments are the arguments that identify a back end.
var backendArguments = []string{"SERVICE", "NAME"}

// backendCommands returns "backend create|update|drain|activate|remove|list".
func (s *session) backendCommands() *ff.Command {
	return s.newGroup("backend", "create, change, drain, remove and list back ends",
		s.createBackendCommand(), s.updateBackendCommand(), s.drainBackendCommand(),
		s.activateBackendCommand(), s.removeBackendCommand(), s.listBackendsCommand())
}

// backendFlags are the flags that describe a back end.
type backendFlags struct {
	agentAddress       string
	slots, connections int
	region, zone, rack string
}

// declare adds the flags.
func (b *backendFlags) declare(flags *ff.FlagSet) {
	flags.StringVar(&b.agentAddress, 0, "agent-address", "", "requests.listen of the agent beside it, IP:port")
	flags.IntVar(&b.slots, 0, "slots", 0, "requests that it runs at once")
	flags.IntVar(&b.connections, 0, "connections", 0, "connections that it accepts")
	flags.StringVar(&b.region, 0, "region", "", "region in which it runs")
	flags.StringVar(&b.zone, 0, "zone", "", "zone in which it runs")
	flags.StringVar(&b.rack, 0, "rack", "", "rack in which it runs; may be empty")
}

// declareWith returns a function that declares these flags and those of m.
func (b *backendFlags) declareWith(m *mutationFlags) func(*ff.FlagSet) {
	return func(flags *ff.FlagSet) {
		m.declare(flags)
		b.declare(flags)
	}
}

// backend returns the back end that the flags describe.
func (b *backendFlags) backend(service, name string) *quartzdockv1.Backend {
	return &quartzdockv1.Backend{
		Service:      service,
		Name:         name,
		Location:     &quartzdockv1.Location{Region: b.region, Zone: b.zone, Rack: b.rack},
		AgentAddress: b.agentAddress,
		Slots:        uint32(max(b.slots, 0)),
		Connections:  uint32(max(b.connections, 0)),
	}
}

// createBackendCommand returns the command that creates a back end.
func (s *session) createBackendCommand() *ff.Command {
	var m mutationFlags
	var b backendFlags
	return s.newCommand("create", "create a back end of a service", backendArguments, b.declareWith(&m),
		func(ctx context.Context, args []string) error {
			return change(ctx, s, &m, rpc.CreateBackend, func(mutation *quartzdockv1.Mutation) *quartzdockv1.CreateBackendRequest {
				return &quartzdockv1.CreateBackendRequest{Mutation: mutation, Backend: b.backend(args[0], args[1])}
			})
		})
}

// updateBackendCommand returns the command that replaces the description of a back
// end.
func (s *session) updateBackendCommand() *ff.Command {
	var m mutationFlags
	var b backendFlags
	return s.newCommand("update", "replace a back end's address, slots, connections and location; give all of them", backendArguments, b.declareWith(&m),
		func(ctx context.Context, args []string) error {
			return change(ctx, s, &m, rpc.UpdateBackend, func(mutation *quartzdockv1.Mutation) *quartzdockv1.UpdateBackendRequest {
				return &quartzdockv1.UpdateBackendRequest{Mutation: mutation, Backend: b.backend(args[0], args[1])}
			})
		})
}

// drainBackendCommand returns the command that drains a back end of its shards.
func (s *session) drainBackendCommand() *ff.Command {
	var m mutationFlags
	return s.newCommand("drain", "move everything away from a back end and give it nothing new", backendArguments, m.declare,
		func(ctx context.Context, args []string) error {
			return change(ctx, s, &m, rpc.DrainBackend, func(mutation *quartzdockv1.Mutation) *quartzdockv1.DrainBackendRequest {
				return &quartzdockv1.DrainBackendRequest{Mutation: mutation, Service: args[0], Name: args[1]}
			})
		})
}

// activateBackendCommand returns the command that ends a drain.
func (s *session) activateBackendCommand() *ff.Command {
	var m mutationFlags
	return s.newCommand("activate", "end the drain of a back end", backendArguments, m.declare,
		func(ctx context.Context, args []string) error {
			return change(ctx, s, &m, rpc.ActivateBackend, func(mutation *quartzdockv1.Mutation) *quartzdockv1.ActivateBackendRequest {
				return &quartzdockv1.ActivateBackendRequest{Mutation: mutation, Service: args[0], Name: args[1]}
			})
		})
}

// removeBackendCommand returns the command that removes a back end that owns no
// shards.
func (s *session) removeBackendCommand() *ff.Command {
	var m mutationFlags
	return s.newCommand("remove", "remove a back end that owns nothing; drain it first", backendArguments, m.declare,
		func(ctx context.Context, args []string) error {
			return change(ctx, s, &m, rpc.RemoveBackend, func(mutation *quartzdockv1.Mutation) *quartzdockv1.RemoveBackendRequest {
				return &quartzdockv1.RemoveBackendRequest{Mutation: mutation, Service: args[0], Name: args[1]}
			})
		})
}

// listBackendsCommand returns the command that lists back ends.
func (s *session) listBackendsCommand() *ff.Command {
	var service string
	flags := func(flags *ff.FlagSet) {
		flags.StringVar(&service, 0, "service", "", "only those of this service")
	}
	return s.newCommand("list", "list back ends with their state, lease and shards", nil, flags, func(ctx context.Context, _ []string) error {
		response, err := readAtLeader(ctx, s, rpc.ListBackends, &quartzdockv1.ListBackendsRequest{Service: service})
		if err != nil {
			return err
		}
		return s.print(response, func(out io.Writer) error {
			writeAge(out, response.GetAge())
			return backendTable(response.GetBackends()).write(out)
		})
	})
}
