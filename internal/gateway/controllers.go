package gateway

import "slices"

// controllerList orders the controllers with which a gateway may open its session. It is used
// by one goroutine only.
type controllerList struct {
	// seeds are the configured addresses. They are always kept, at the end of the list.
	seeds []string
	// known are session addresses, the most likely leader first.
	known []string
	// silent is the address whose session timed out; empty if there is none.
	silent string
}

func newControllerList(seeds []string) controllerList {
	return controllerList{seeds: seeds, known: seeds}
}

// update replaces the addresses by those that a controller has sent, the most likely leader
// first.
func (l *controllerList) update(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	known := slices.Clone(addresses)
	for _, seed := range l.seeds {
		if !slices.Contains(known, seed) {
			known = append(known, seed)
		}
	}
	l.known = known
}

// dialOrder returns the addresses in the order in which to dial them, the silent one last.
func (l *controllerList) dialOrder() []string {
	if l.silent == "" {
		return l.known
	}
	isSilent := func(address string) bool { return address == l.silent }
	return append(slices.DeleteFunc(slices.Clone(l.known), isSilent), l.silent)
}

// markSilent records that a session timed out without a message. A hung process still accepts
// connections, and its former followers may name it as their leader for a while. Reopening the
// session there left gateways without updates for another 1.6 s, longer than the time within
// which a new configuration must be in force.
func (l *controllerList) markSilent(address string) { l.silent = address }

// markResponsive records that a message arrived from an address.
func (l *controllerList) markResponsive(address string) {
	if l.silent == address {
		l.silent = ""
	}
}

// mayFollow reports whether to follow a redirect to an address.
func (l *controllerList) mayFollow(address string) bool { return address != "" && address != l.silent }
