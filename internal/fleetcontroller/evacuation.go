package fleetcontroller

import (
	"context"
	"errors"
	"slices"

	"github.com/quartzdock/quartzdock/internal/fleetstate"
)

// ErrUnknownZone: no machine of the fleet is in the zone; nothing was done.
var ErrUnknownZone = errors.New("unknown zone")

// Evacuate replicates an operator's order about a zone. It returns once the order is
// synced on a quorum and applied here. ErrNotLeader and ErrUnknownZone say that
// nothing was done; any other error leaves the outcome unknown, and the order may be
// sent again.
func (c *Controller) Evacuate(ctx context.Context, change fleetstate.ChangeEvacuation) (fleetstate.Result, error) {
	if !slices.Contains(c.config.Zones, change.Zone) {
		return fleetstate.Result{}, ErrUnknownZone
	}
	data, err := (&fleetstate.Command{Evacuation: &change}).Encode()
	if err != nil {
		return fleetstate.Result{}, err
	}
	applied, err := c.member.Propose(ctx, data)
	if err != nil {
		err = classify(err)
		if !isNotLeader(err) {
			c.config.Log.Info("evacuation order", "zone", change.Zone, "evacuate", change.Evacuate, "outcome", outcomeUnknown, "error", err)
		}
		return fleetstate.Result{}, err
	}
	result := applied.(fleetstate.Result)
	c.config.Log.Info("evacuation order", "zone", change.Zone, "evacuate", change.Evacuate, "outcome", result.Outcome.String())
	return result, nil
}
