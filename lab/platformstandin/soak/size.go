package soak

import (
	"cmp"
	"errors"
	"fmt"
)

// Size of a fleet. Zeros are the fleet that the strikes need.
type Size struct {
	// Gateways, each with a back end beside it, of which Keyed hold keys.
	Gateways, Keyed int
	Controllers     int
	// Callers is how many callers are at work at the most, spread over the gateways.
	Callers int
}

// mostCallers is how many callers are at work where nothing else is said.
const mostCallers = 96

// orDefault returns the size with what was left open.
func (s Size) orDefault() Size {
	s.Controllers, s.Callers = cmp.Or(s.Controllers, controllers), cmp.Or(s.Callers, mostCallers)
	return s
}

// check refuses a fleet without one of the services.
func (s Size) check() error {
	if s.Gateways < 0 || s.Keyed < 0 || s.Controllers < 0 || s.Callers < 0 {
		return errors.New("a fleet has no negative numbers of processes or callers")
	}
	if (s.Gateways > 0 || s.Keyed > 0) && (s.Keyed < 1 || s.Keyed >= s.Gateways) {
		return fmt.Errorf("of %d gateways, at least one and not all must have keyed back ends, not %d", s.Gateways, s.Keyed)
	}
	return nil
}

// services returns the services of the gateways' back ends, keyed ones spread evenly.
func (s Size) services(strikes []Strike) []string {
	if s.Gateways == 0 {
		return servicesFor(strikes)
	}
	var services []string
	for i := range s.Gateways {
		service := plainService
		if (i+1)*s.Keyed/s.Gateways > i*s.Keyed/s.Gateways {
			service = keyedService
		}
		services = append(services, service)
	}
	return services
}

// seat is a caller's place: its gateway and its number there.
type seat struct{ gateway, number int }

// spread gives each gateway a number of callers in turn, as long as there are no more than
// most.
func spread(gateways, each, most int) []seat {
	var seats []seat
	for number := range each {
		for gateway := range gateways {
			if len(seats) < most {
				seats = append(seats, seat{gateway, number})
			}
		}
	}
	return seats
}
