package agent

import (
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/ownership"
)

// lease guards the holder's lease against answers that were on their way when
// it was given up.
type lease struct {
	holder   *ownership.Holder
	extended func()

	mutex sync.Mutex
	// withheld: no lease is taken until resume.
	withheld bool
	// notBefore: renewals sent earlier than this were answered too late.
	notBefore time.Duration
}

// Granted implements subscription.LeaseHolder.
func (lease *lease) Granted(sentAt, granted time.Duration) {
	lease.mutex.Lock()
	taken := !lease.withheld && sentAt >= lease.notBefore
	if taken {
		lease.holder.Granted(sentAt, granted)
	}
	lease.mutex.Unlock()
	if taken {
		lease.extended()
	}
}

// withhold ends the lease in this process at once. The controller learns of it
// by a later Renew with Release set.
func (lease *lease) withhold() {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	lease.withheld = true
	lease.holder.Release()
}

// resume takes leases again, of renewals sent from now on.
func (lease *lease) resume(now time.Duration) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	lease.withheld = false
	lease.notBefore = now
}
