package fleetcontroller

import (
	"context"
	"errors"
	"slices"

	"github.com/quartzdock/quartzdock/internal/fleetstate"
)

// ErrUnknownZone means that the fleet has no such zone; nothing was done.
var ErrUnknownZone = errors.New("unknown zone")

// Evacuate replicates an operator's command to start or end the evacuation of a zone. It
// returns once the command is synced to disk on a quorum and applied here. ErrNotLeader and
// ErrUnknownZone mean that nothing was done; after any other error the outcome is unknown,
// and the command may be repeated.
func (c *Controller) Evacuate(ctx context.Context, change fleetstate.ChangeEvacuation) (fleetstate.Result, error) {
	if !slices.Contains(c.config.Zones, change.Zone) {
		return fleetstate.Result{}, ErrUnknownZone
	}
	data, err := (&fleetstate.Command{Evacuation: &change}).Encode()
	if err != nil {
		return fleetstate.Result{}, err
	}
	applied, err := c.replica.Propose(ctx, data)
	if err != nil {
		err = wrapNotLeader(err)
		if !isNotLeader(err) {
			c.config.Log.Info("evacuation order", "zone", change.Zone, "evacuate", change.Evacuate, "outcome", outcomeUnknown, "error", err)
		}
		return fleetstate.Result{}, err
	}
	result := applied.(fleetstate.Result)
	c.config.Log.Info("evacuation order", "zone", change.Zone, "evacuate", change.Evacuate, "outcome", result.Outcome.String())
	return result, nil
}
