package gateway

import "slices"

// controllerList orders the controllers that a gateway may open its session with.
// One goroutine uses it.
type controllerList struct {
	// seeds are always known; they come last.
	seeds []string
	// known are session addresses, the most promising first.
	known []string
	// silent is the address whose session ended by silence, "" where there is none.
	silent string
}

func newControllerList(seeds []string) controllerList {
	return controllerList{seeds: seeds, known: seeds}
}

// learn takes the addresses that a controller has told, the most promising first.
func (l *controllerList) learn(controllers []string) {
	if len(controllers) == 0 {
		return
	}
	known := slices.Clone(controllers)
	for _, seed := range l.seeds {
		if !slices.Contains(known, seed) {
			known = append(known, seed)
		}
	}
	l.known = known
}

// order returns the addresses in the order in which they are tried, the silent one
// last.
func (l *controllerList) order() []string {
	if l.silent == "" {
		return l.known
	}
	isSilent := func(address string) bool { return address == l.silent }
	return append(slices.DeleteFunc(slices.Clone(l.known), isSilent), l.silent)
}

// fellSilent notes that a session ended because nothing was heard. A process that stands
// still goes on accepting connections, and those that were its followers may name it as
// their leader for a while: opening the next session there again kept gateways without
// news for another 1.6 s, beyond the time within which a configuration must be in force.
func (l *controllerList) fellSilent(address string) { l.silent = address }

// heard notes that an address has said something.
func (l *controllerList) heard(address string) {
	if l.silent == address {
		l.silent = ""
	}
}

// follows reports whether a redirect to an address is to be followed.
func (l *controllerList) follows(address string) bool { return address != "" && address != l.silent }
