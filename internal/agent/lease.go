package agent

import (
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/ownership"
)

// lease wraps the holder so that the answer to a renewal sent before the lease
// was given up does not restore it.
type lease struct {
	holder     *ownership.Holder
	onExtended func()

	mutex sync.Mutex
	// suspended is set while no lease is accepted; see resume.
	suspended bool
	// notBefore is the earliest sending time of a renewal whose answer is
	// accepted.
	notBefore time.Duration
}

// Granted implements subscription.LeaseHolder.
func (lease *lease) Granted(sentAt, granted time.Duration) {
	lease.mutex.Lock()
	taken := !lease.suspended && sentAt >= lease.notBefore
	if taken {
		lease.holder.Granted(sentAt, granted)
	}
	lease.mutex.Unlock()
	if taken {
		lease.onExtended()
	}
}

// suspend ends the lease in this process at once. The controller is told later,
// by a Renew with Release set.
func (lease *lease) suspend() {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	lease.suspended = true
	lease.holder.Release()
}

// resume accepts leases again, for renewals that are sent from now on.
func (lease *lease) resume(now time.Duration) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	lease.suspended = false
	lease.notBefore = now
}
