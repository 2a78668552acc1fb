package controller

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/inforce"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// The numeric values of the schema's enumerations equal those of package
// topology.

func serviceFromMessage(message *quartzdockv1.Service) topology.Service {
	service := topology.Service{
		Name:          message.GetName(),
		InitialShards: message.GetInitialShards(),
		DrainLimit:    message.GetDrainLimit().AsDuration(),
		Placement:     placementFromMessage(message.GetPlacement()),
	}
	for _, rule := range message.GetRules() {
		service.Rules = append(service.Rules, ruleFromMessage(rule))
	}
	return service
}

func placementFromMessage(message *quartzdockv1.PlacementPolicy) topology.PlacementPolicy {
	return topology.PlacementPolicy{
		Weights: topology.PlacementWeights{
			Imbalance:   message.GetImbalanceWeight(),
			Churn:       message.GetChurnWeight(),
			Unavailable: message.GetUnavailableWeight(),
		},
		MinimumResidence: message.GetMinimumResidence().AsDuration(),
		MovesPerMinute:   message.GetMovesPerMinute(),
		MovesAtOnce:      message.GetMovesAtOnce(),
		RestartGrace:     message.GetRestartGrace().AsDuration(),
	}
}

func ruleFromMessage(message *quartzdockv1.RequestRule) topology.RequestRule {
	return topology.RequestRule{
		Methods:    message.GetMethods(),
		PathPrefix: message.GetPathPrefix(),
		Key: topology.KeySource{
			Kind:  topology.KeySourceKind(message.GetKey().GetKind()),
			Name:  message.GetKey().GetName(),
			Index: message.GetKey().GetIndex(),
		},
		Class:         topology.RequestClass(message.GetClass()),
		NonRepeatable: message.GetNonRepeatable(),
		Timeout:       message.GetTimeout().AsDuration(),
	}
}

func serviceMessage(info *controlstate.ServiceInfo) *quartzdockv1.Service {
	message := &quartzdockv1.Service{
		Id:            uint32(info.ID),
		Name:          info.Name,
		InitialShards: info.InitialShards,
		Placement:     placementMessage(&info.Placement),
		DrainLimit:    durationpb.New(info.DrainLimit),
		Revision:      uint64(info.Revision),
		Author:        info.Author,
	}
	for index := range info.Rules {
		message.Rules = append(message.Rules, ruleMessage(&info.Rules[index]))
	}
	return message
}

func placementMessage(policy *topology.PlacementPolicy) *quartzdockv1.PlacementPolicy {
	return &quartzdockv1.PlacementPolicy{
		ImbalanceWeight:   policy.Weights.Imbalance,
		ChurnWeight:       policy.Weights.Churn,
		UnavailableWeight: policy.Weights.Unavailable,
		MinimumResidence:  durationpb.New(policy.MinimumResidence),
		MovesPerMinute:    policy.MovesPerMinute,
		MovesAtOnce:       policy.MovesAtOnce,
		RestartGrace:      durationpb.New(policy.RestartGrace),
	}
}

func ruleMessage(rule *topology.RequestRule) *quartzdockv1.RequestRule {
	message := &quartzdockv1.RequestRule{
		Methods:       rule.Methods,
		PathPrefix:    rule.PathPrefix,
		Class:         quartzdockv1.RequestClass(rule.Class),
		NonRepeatable: rule.NonRepeatable,
		Timeout:       durationpb.New(rule.Timeout),
	}
	if rule.Key.Kind != 0 {
		message.Key = &quartzdockv1.KeySource{
			Kind:  quartzdockv1.KeySourceKind(rule.Key.Kind),
			Name:  rule.Key.Name,
			Index: rule.Key.Index,
		}
	}
	return message
}

func backendFromMessage(message *quartzdockv1.Backend) topology.Backend {
	return topology.Backend{
		Name:         message.GetName(),
		Location:     locationFromMessage(message.GetLocation()),
		AgentAddress: message.GetAgentAddress(),
		Slots:        message.GetSlots(),
		Connections:  message.GetConnections(),
	}
}

func locationFromMessage(message *quartzdockv1.Location) topology.Location {
	return topology.Location{
		Region: topology.RegionName(message.GetRegion()),
		Zone:   topology.ZoneName(message.GetZone()),
		Rack:   topology.RackName(message.GetRack()),
	}
}

func locationMessage(location topology.Location) *quartzdockv1.Location {
	return &quartzdockv1.Location{
		Region: string(location.Region),
		Zone:   string(location.Zone),
		Rack:   string(location.Rack),
	}
}

// backendMessage runs on the control goroutine.
func (s *adminServer) backendMessage(info *controlstate.BackendInfo) *quartzdockv1.Backend {
	c := s.controller
	service, _ := c.state.ServiceByID(info.Service)
	return &quartzdockv1.Backend{
		Id:           uint32(info.ID),
		Service:      service.Name,
		Name:         info.Name,
		Location:     locationMessage(info.Location),
		AgentAddress: info.AgentAddress,
		Slots:        info.Slots,
		Connections:  info.Connections,
		State:        quartzdockv1.BackendState(info.State),
		Revision:     uint64(info.Revision),
		Author:       info.Author,
		Live:         c.coordinator.Live(info.ID, c.replica.Now()),
		LiveKnown:    c.coordinator.Leading(),
		OwnedShards:  uint32(info.Owned),
	}
}

// backendName returns a back end's name, or "" if there is none. It runs on the
// control goroutine.
func (s *adminServer) backendName(id topology.BackendID) string {
	info, _ := s.controller.state.Backend(id)
	return info.Name
}

// shardMessage runs on the control goroutine.
func (s *adminServer) shardMessage(shard *topology.Shard) *quartzdockv1.Shard {
	return &quartzdockv1.Shard{
		ServiceId: uint32(shard.ID.Service),
		Number:    uint32(shard.ID.Shard),
		Start:     uint64(shard.Start),
		Phase:     phaseMessage(shard.Phase),
		Owner:     s.backendName(shard.Owner),
		Target:    s.backendName(shard.Target),
		OwnerId:   uint32(shard.Owner),
		TargetId:  uint32(shard.Target),
		Epoch:     uint64(shard.Epoch),
	}
}

func phaseMessage(phase topology.ShardPhase) quartzdockv1.ShardPhase {
	return quartzdockv1.ShardPhase(phase)
}

func subscriberMessage(entry *inforce.Subscriber, now time.Duration) *quartzdockv1.Subscriber {
	return &quartzdockv1.Subscriber{
		Role:            roleName(entry.Role),
		Name:            entry.Name,
		Address:         entry.Address,
		Location:        locationMessage(entry.Location),
		AppliedRevision: uint64(entry.Applied),
		Connected:       entry.Connected,
		Controller:      uint64(entry.Controller),
		SilentFor:       durationpb.New(now - entry.LastMessageAt),
		StoppedRelying:  entry.StoppedRelying(now),
	}
}

func roleName(role topology.Role) string {
	switch role {
	case topology.RoleController:
		return "controller"
	case topology.RoleRouter:
		return "router"
	case topology.RoleAgent:
		return "agent"
	}
	return "unknown"
}
