package departure

import (
	"fmt"
	"slices"
)

const (
	// MaxPerGateway bounds the records of one gateway. The incarnations beside a gateway share one
	// address, so that each has ended before the next one starts.
	MaxPerGateway = 16
	// MaxRecords bounds the set. A departing back end lives for seconds, in which far fewer others
	// announce theirs.
	MaxRecords = 8192
	// maxNameLength bounds the names of gateways and incarnations, in bytes.
	maxNameLength = 256
)

// Announcement is the announcement of an incarnation that it departs.
type Announcement struct {
	// Gateway is the name of the incarnation's local gateway.
	Gateway string
	// Instance is the name of the incarnation (incarnation.Name).
	Instance string
}

// Check returns an error for an announcement that no gateway makes.
func (a *Announcement) Check() error {
	switch {
	case a.Gateway == "" || len(a.Gateway) > maxNameLength:
		return fmt.Errorf("departure: gateway name of %d bytes", len(a.Gateway))
	case a.Instance == "" || len(a.Instance) > maxNameLength:
		return fmt.Errorf("departure: instance name of %d bytes", len(a.Instance))
	}
	return nil
}

// Change adds announcements to a Set.
type Change struct{ Announced []Announcement }

// Record is a recorded announcement. Index is the log index of the change that recorded it.
type Record struct {
	Announcement
	Index uint64
}

// Set holds the recorded announcements, the oldest first. The zero value is empty. It is not
// safe for concurrent use.
type Set struct {
	records   []Record
	byGateway map[string][]Record
}

// NewSet returns the set of the given records. It returns an error if no sequence of changes
// leaves them.
func NewSet(records []Record) (Set, error) {
	var s Set
	var newest uint64
	for _, record := range records {
		if err := record.Check(); err != nil {
			return Set{}, err
		}
		if record.Index < newest {
			return Set{}, fmt.Errorf("departure: record at index %d after one at index %d", record.Index, newest)
		}
		newest = record.Index
		if !s.add(record) {
			return Set{}, fmt.Errorf("departure: %.64q of %.64q is recorded twice", record.Instance, record.Gateway)
		}
	}
	if len(s.records) != len(records) {
		return Set{}, fmt.Errorf("departure: %d records exceed the bounds of a set", len(records))
	}
	return s, nil
}

// Records returns all records, the oldest first. The caller must not change them.
func (s *Set) Records() []Record { return s.records }

// Has reports whether an incarnation's announcement is recorded.
func (s *Set) Has(gateway, instance string) bool {
	return slices.ContainsFunc(s.byGateway[gateway], func(record Record) bool { return record.Instance == instance })
}

// At returns the recorded incarnations beside a gateway.
func (s *Set) At(gateway string) []string {
	var instances []string
	for _, record := range s.byGateway[gateway] {
		instances = append(instances, record.Instance)
	}
	return instances
}

// NewestAt returns the log index of the newest record of a gateway; zero if it has none.
func (s *Set) NewestAt(gateway string) uint64 {
	records := s.byGateway[gateway]
	if len(records) == 0 {
		return 0
	}
	return records[len(records)-1].Index
}

// Missing returns the valid announcements of a change that aren't recorded yet.
func (s *Set) Missing(change *Change) Change {
	var missing Change
	for _, announced := range change.Announced {
		if announced.Check() == nil && !s.Has(announced.Gateway, announced.Instance) {
			missing.Announced = append(missing.Announced, announced)
		}
	}
	return missing
}

// Apply records the announcements of a change at a log index. Those that are invalid or recorded
// already change nothing.
func (s *Set) Apply(index uint64, change *Change) {
	for _, announced := range s.Missing(change).Announced {
		s.add(Record{announced, index})
	}
}

// add appends a record and evicts the oldest ones beyond the bounds. It returns false if the
// announcement is recorded already.
func (s *Set) add(record Record) bool {
	if s.Has(record.Gateway, record.Instance) {
		return false
	}
	if s.byGateway == nil {
		s.byGateway = map[string][]Record{}
	}
	s.records = append(s.records, record)
	s.byGateway[record.Gateway] = append(s.byGateway[record.Gateway], record)
	if ofGateway := s.byGateway[record.Gateway]; len(ofGateway) > MaxPerGateway {
		s.remove(ofGateway[0])
	}
	if len(s.records) > MaxRecords {
		s.remove(s.records[0])
	}
	return true
}

// remove removes a record, which must be the oldest one of its gateway.
func (s *Set) remove(oldest Record) {
	at := slices.Index(s.records, oldest)
	s.records = slices.Delete(s.records, at, at+1)
	s.byGateway[oldest.Gateway] = s.byGateway[oldest.Gateway][1:]
	if len(s.byGateway[oldest.Gateway]) == 0 {
		delete(s.byGateway, oldest.Gateway)
	}
}
