package router

import (
	"fmt"
	"testing"

	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// BenchmarkPublish publishes successive tables with 75,000 shards of 40
// services and 1,100 back ends. Between two tables, one shard changes.
func BenchmarkPublish(b *testing.B) {
	const services, shards, backends = 40, 75_000, 1100
	r, err := New(Config{
		Name: "benchmark", Listen: "127.0.0.1:0",
		Source: func(func(*routing.Table)) (Source, error) { return fixedSource{}, nil },
	})
	if err != nil {
		b.Fatal(err)
	}
	defer r.Close()
	var snapshot wire.RoutingSnapshot
	for service := range topology.ServiceID(services) {
		routes := wire.ServiceRoutes{Service: topology.Service{ID: service + 1, Name: fmt.Sprint("service-", service)}}
		for shard := range shards / services {
			routes.Shards = append(routes.Shards, topology.Shard{
				ID:    topology.ShardID{Service: service + 1, Shard: topology.ShardNumber(shard + 1)},
				Start: topology.KeyHash(shard) * (^topology.KeyHash(0)/(shards/services) + 1),
				Phase: topology.ShardOwned, Owner: topology.BackendID(service) + 1, Epoch: 1,
			})
		}
		snapshot.Services = append(snapshot.Services, routes)
	}
	for backend := range topology.BackendID(backends) {
		// Without an address, no connections are opened.
		snapshot.Backends = append(snapshot.Backends, topology.Backend{
			ID: backend + 1, Service: topology.ServiceID(backend%services) + 1, State: topology.BackendActive,
		})
	}
	table, err := routing.FromSnapshot(snapshot)
	if err != nil {
		b.Fatal(err)
	}
	r.publish(table)
	moved := snapshot.Services[0].Shards[7]
	b.ReportAllocs()
	for b.Loop() {
		moved.Epoch++
		next := wire.RoutingDelta{From: table.Revision(), To: table.Revision() + 1, Shards: []topology.Shard{moved}}
		if table, err = table.Apply(next); err != nil {
			b.Fatal(err)
		}
		r.publish(table)
	}
}
