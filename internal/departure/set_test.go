package departure_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/quartzdock/quartzdock/internal/departure"
	_ "github.com/quartzdock/quartzdock/internal/rapidseed"
)

func announced(gateway, instance int) departure.Announcement {
	return departure.Announcement{Gateway: fmt.Sprint("g-", gateway), Instance: fmt.Sprint("i-", instance)}
}

// The newest records of each gateway are kept, in order and once each, and a snapshot restores the
// same set.
func TestSetKeepsTheNewestRecordsOfEachGateway(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var set departure.Set
		want := map[string][]string{}
		for index := range rapid.IntRange(0, 40).Draw(t, "changes") {
			var change departure.Change
			for range rapid.IntRange(0, 6).Draw(t, "announcements") {
				added := announced(rapid.IntRange(0, 2).Draw(t, "gateway"), rapid.IntRange(0, 40).Draw(t, "instance"))
				change.Announced = append(change.Announced, added)
				kept := want[added.Gateway]
				if !slices.Contains(kept, added.Instance) {
					kept = append(kept, added.Instance)
				}
				want[added.Gateway] = kept
			}
			set.Apply(uint64(index+1), &change)
			for gateway, kept := range want {
				want[gateway] = kept[max(0, len(kept)-departure.MaxPerGateway):]
			}
		}
		restored, err := departure.NewSet(set.Records())
		assert.NilError(t, err)
		for gateway, kept := range want {
			assert.DeepEqual(t, set.At(gateway), kept)
			assert.DeepEqual(t, restored.At(gateway), kept)
			assert.Equal(t, restored.NewestAt(gateway), set.NewestAt(gateway))
			for _, instance := range kept {
				assert.Assert(t, restored.Has(gateway, instance))
			}
		}
	})
}

// Departures beside other gateways evict a record only beyond the bound of the whole set.
func TestSetIsBounded(t *testing.T) {
	var set departure.Set
	for number := range departure.MaxRecords + 3 {
		set.Apply(uint64(number+1), &departure.Change{Announced: []departure.Announcement{announced(number, number)}})
	}
	assert.Equal(t, len(set.Records()), departure.MaxRecords)
	assert.Assert(t, !set.Has("g-2", "i-2") && set.Has("g-3", "i-3"))
	assert.Equal(t, len(set.At("g-2")), 0)
}

func TestInvalidAnnouncementsAreNotRecorded(t *testing.T) {
	var set departure.Set
	long := strings.Repeat("x", 300)
	set.Apply(1, &departure.Change{Announced: []departure.Announcement{{}, {Gateway: "g"}, {Instance: "i"}, {Gateway: "g", Instance: long}, {Gateway: long, Instance: "i"}}})
	assert.Equal(t, len(set.Records()), 0)
}

// A snapshot that no sequence of changes leaves is rejected.
func TestInvalidRecordsAreRejected(t *testing.T) {
	first, second := departure.Record{Announcement: announced(1, 1), Index: 4}, departure.Record{Announcement: announced(1, 2), Index: 7}
	var tooMany []departure.Record
	for number := range departure.MaxPerGateway + 1 {
		tooMany = append(tooMany, departure.Record{Announcement: announced(1, number), Index: uint64(number + 1)})
	}
	for _, records := range [][]departure.Record{{second, first}, {first, first}, {{Index: 1}}, tooMany} {
		_, err := departure.NewSet(records)
		assert.Check(t, err != nil, "%v", records)
	}
}

// An announcement is pending until the leader lists it, and is announced again if it was evicted.
func TestAnnouncementsArePendingUntilRecorded(t *testing.T) {
	var announcements departure.Announcements
	assert.NilError(t, announcements.Announce("a"))
	assert.NilError(t, announcements.Announce("b"))
	assert.NilError(t, announcements.Announce("a"))
	assert.DeepEqual(t, announcements.Pending(), []string{"a", "b"})
	assert.DeepEqual(t, announcements.Update([]string{"earlier", "a"}), []string{"a"})
	assert.Assert(t, announcements.Recorded("a") && announcements.Recorded("earlier") && !announcements.Recorded("b"))
	assert.DeepEqual(t, announcements.Pending(), []string{"b"})
	announcements.Update([]string{"b"})
	assert.NilError(t, announcements.Announce("a"))
	assert.DeepEqual(t, announcements.Pending(), []string{"a"})
}

func TestPendingAnnouncementsAreBounded(t *testing.T) {
	var announcements departure.Announcements
	for number := range departure.MaxPerGateway {
		assert.NilError(t, announcements.Announce(fmt.Sprint(number)))
	}
	assert.ErrorIs(t, announcements.Announce("more"), departure.ErrTooManyPending)
	assert.NilError(t, announcements.Announce("0"), "it is pending already")
}
