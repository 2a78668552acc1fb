package departure

import (
	"errors"
	"slices"
)

// ErrTooManyPending means that an announcement has to wait until earlier ones are recorded.
var ErrTooManyPending = errors.New("departure: too many announcements wait to be recorded")

// Announcements are a gateway process's own announcements, and what the controllers have recorded
// of its gateway. The zero value is empty. It is not safe for concurrent use.
type Announcements struct {
	pending  []string
	recorded []string
}

// Announce notes an incarnation's announcement. It is pending until Update names it.
func (a *Announcements) Announce(instance string) error {
	switch {
	case a.Recorded(instance) || slices.Contains(a.pending, instance):
		return nil
	case len(a.pending) >= MaxPerGateway:
		return ErrTooManyPending
	}
	a.pending = append(a.pending, instance)
	return nil
}

// Pending returns the incarnations whose announcement is to be recorded, in the order in which
// they were announced.
func (a *Announcements) Pending() []string { return slices.Clone(a.pending) }

// Recorded reports whether an incarnation's announcement is recorded, and may be acknowledged.
func (a *Announcements) Recorded(instance string) bool { return slices.Contains(a.recorded, instance) }

// Update applies the recorded incarnations of the gateway as the leader has listed them. It returns
// those that were pending.
func (a *Announcements) Update(recorded []string) (confirmed []string) {
	a.recorded = slices.Clone(recorded)
	a.pending = slices.DeleteFunc(a.pending, func(instance string) bool {
		if !a.Recorded(instance) {
			return false
		}
		confirmed = append(confirmed, instance)
		return true
	})
	return confirmed
}
