package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/quartzdock/quartzdock/lab/backend"
	"github.com/quartzdock/quartzdock/lab/deployment"
	"github.com/quartzdock/quartzdock/lab/faultproxy"
	"github.com/quartzdock/quartzdock/lab/load"
	"github.com/quartzdock/quartzdock/lab/machines"
)

// stopTimeout bounds how long a stand-in waits for requests in progress when it stops.
const stopTimeout = 30 * time.Second

func backendCommand() *ff.Command {
	var config backend.Config
	flags := ff.NewFlagSet("backend")
	flags.StringVar(&config.Name, 0, "name", "backend", "name in the ledger")
	flags.StringVar(&config.Listen, 0, "listen", "127.0.0.1:9000", "address for requests, IP:port")
	flags.StringVar(&config.Ledger, 0, "ledger", "", "path of the ledger file; empty keeps none")
	flags.IntVar(&config.Slots, 0, "slots", 20, "maximum number of concurrent requests")
	flags.IntVar(&config.Connections, 0, "connections", 100, "maximum number of connections")
	flags.DurationVar(&config.ConnectCost, 0, "connect-cost", time.Millisecond, "time that accepting a connection takes")
	flags.DurationVar(&config.ProbeCost, 0, "probe-cost", 6*time.Millisecond, "time that a health probe takes")
	flags.DurationVar(&config.ColdStart, 0, "cold-start", 0, "time that preparing a shard takes")
	flags.BoolVar(&config.Unfenced, 0, "unfenced", "serve requests without grants, to measure direct requests")
	return &ff.Command{
		Name: "backend", ShortHelp: "stand-in for a users' server", Flags: flags,
		Exec: func(ctx context.Context, _ []string) error {
			server, err := backend.Start(config)
			if err != nil {
				return err
			}
			<-ctx.Done()
			stopping, cancel := context.WithTimeout(context.Background(), stopTimeout)
			defer cancel()
			return server.Stop(stopping)
		},
	}
}

func loadCommand() *ff.Command {
	var config load.Config
	var name string
	flags := ff.NewFlagSet("load")
	flags.StringVar(&name, 0, "deployment", "small", "name or path of a deployment")
	flags.StringListVar(&config.Routers, 0, "router", "address of a router, IP:port; may be repeated")
	flags.DurationVar(&config.Duration, 0, "duration", 10*time.Second, "duration of the load")
	flags.Float64Var(&config.RateFactor, 0, "rate-factor", 1, "multiplies the deployment's rates")
	flags.Uint64Var(&config.Seed, 0, "seed", 1, "seed of arrivals, keys and request ids")
	flags.StringVar(&config.Ledger, 0, "ledger", "", "path of the ledger file; empty keeps none")
	flags.IntVar(&config.Resends, 0, "resends", 2, "how often a request that was not answered is sent again")
	flags.StringVar(&config.Caller, 0, "caller", "load", "name of the caller in requests")
	flags.BoolVar(&config.Direct, 0, "direct", "the addresses are unfenced stand-ins, not routers")
	return &ff.Command{
		Name: "load", ShortHelp: "stand-in callers with open-loop load", Flags: flags,
		Exec: func(ctx context.Context, _ []string) error {
			if len(config.Routers) == 0 {
				return errors.New("--router is required")
			}
			var err error
			if config.Deployment, err = deployment.Load(name); err != nil {
				return err
			}
			summary, err := load.Run(ctx, config)
			if err != nil {
				return err
			}
			return summary.Print(os.Stdout)
		},
	}
}

func machinesCommand() *ff.Command {
	var listen, live string
	var lag time.Duration
	flags := ff.NewFlagSet("machines")
	flags.StringVar(&listen, 0, "listen", "127.0.0.1:9100", "address of GET and PUT /machines")
	flags.StringVar(&live, 0, "live", "", "names of live back ends, separated by commas")
	flags.DurationVar(&lag, 0, "lag", 0, "delay until changes become visible")
	return &ff.Command{
		Name: "machines", ShortHelp: "stand-in for the platform's list of machines", Flags: flags,
		Exec: func(ctx context.Context, _ []string) error {
			var listed []machines.Machine
			for name := range strings.SplitSeq(live, ",") {
				if name != "" {
					listed = append(listed, machines.Machine{Backend: name, State: machines.Live})
				}
			}
			return serve(ctx, listen, machines.NewList(lag, listed).Handler())
		},
	}
}

func faultProxyCommand() *ff.Command {
	var links []string
	var control string
	var seed uint64
	flags := ff.NewFlagSet("faultproxy")
	flags.StringListVar(&links, 0, "link", "NAME=LISTEN=TARGET, addresses as IP:port; may be repeated")
	flags.StringVar(&control, 0, "control", "127.0.0.1:9200", "address of the control interface")
	flags.Uint64Var(&seed, 0, "seed", 1, "seed of random faults")
	return &ff.Command{
		Name: "faultproxy", ShortHelp: "TCP proxy that injects faults", Flags: flags,
		Exec: func(ctx context.Context, _ []string) error {
			proxies, err := openLinks(links, seed)
			if err != nil {
				return err
			}
			err = serve(ctx, control, faultproxy.Handler(proxies...))
			for _, proxy := range proxies {
				err = errors.Join(err, proxy.Close())
			}
			return err
		},
	}
}

// openLinks starts one proxy for each NAME=LISTEN=TARGET.
func openLinks(links []string, seed uint64) ([]*faultproxy.Proxy, error) {
	var proxies []*faultproxy.Proxy
	for i, link := range links {
		parts := strings.Split(link, "=")
		if len(parts) != 3 {
			return nil, fmt.Errorf("--link %q: want NAME=LISTEN=TARGET", link)
		}
		proxy, err := faultproxy.Listen(faultproxy.Config{
			Name: parts[0], Listen: parts[1], Target: parts[2], Seed: seed + uint64(i),
		})
		if err != nil {
			return nil, err
		}
		proxies = append(proxies, proxy)
	}
	return proxies, nil
}

// serve runs an HTTP server until the context ends.
func serve(ctx context.Context, address string, handler http.Handler) error {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { server.Close() })
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
