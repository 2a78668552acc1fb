package seats_test

import (
	"time"

	"pgregory.net/rapid"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/seats"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// machine is a controller's machine of a simulated group.
type machine struct {
	id topology.ReplicaID
	// gone is set for good; absentUntil ends a freeze or a cut.
	gone        bool
	absentUntil time.Duration
	// heardAt is when the leader of the present term last heard it; zero if never.
	heardAt time.Duration
}

// noticesAfter is how long a member that is back takes to find out that it has lost its seat, to start
// again with an empty folder and to ask for admission.
const noticesAfter = 4500 * time.Millisecond

// simulation plays a group of controllers against the rules: which machines are present decides
// whether there is a leader and whether a change of the membership commits.
type simulation struct {
	t        *rapid.T
	now      time.Duration
	voters   map[topology.ReplicaID]bool
	machines map[topology.ReplicaID]*machine
	// joining are the successors that are no voters yet, by when they started.
	joining map[topology.ReplicaID]time.Duration
	// reserved are those of them that have the seat of a removed member.
	reserved map[topology.ReplicaID]bool
	// givesUpSeats is set for the rule by which one with an empty disk gets no seat of its own.
	givesUpSeats bool
	lastID       topology.ReplicaID
	// term counts the leaderships. In each the count of silence begins anew.
	term    uint64
	silence seats.Silence
	// record is what leaders have recorded in the log.
	record seats.Record
	// inherited is what was recorded when the present leadership began.
	inherited seats.Record
	// quorumLost is set once no quorum was present.
	quorumLost bool
	// admit decides about a joining controller.
	admit func([]seats.Member, topology.ReplicaID) seats.Admission
	// remove decides about members without a successor.
	remove func([]seats.Member) topology.ReplicaID
}

func newSimulation(t *rapid.T, count int) *simulation {
	s := &simulation{
		t: t, term: 1, now: time.Second, voters: map[topology.ReplicaID]bool{}, machines: map[topology.ReplicaID]*machine{}, joining: map[topology.ReplicaID]time.Duration{},
		reserved: map[topology.ReplicaID]bool{}, admit: seats.Admit,
		remove: func(members []seats.Member) topology.ReplicaID { return seats.Remove(members, removeAfter) },
	}
	for range count {
		s.voters[s.start()] = true
	}
	return s
}

func (s *simulation) start() topology.ReplicaID {
	s.lastID++
	s.machines[s.lastID] = &machine{id: s.lastID}
	return s.lastID
}

func (s *simulation) present(id topology.ReplicaID) bool {
	m := s.machines[id]
	return m != nil && !m.gone && s.now >= m.absentUntil
}

// hasQuorum reports whether a quorum of the voters is present.
func (s *simulation) hasQuorum() bool {
	present := 0
	for id := range s.voters {
		if s.present(id) {
			present++
		}
	}
	return present >= len(s.voters)/2+1
}

// leader returns a voter that is present.
func (s *simulation) leader() topology.ReplicaID {
	for id := topology.ReplicaID(1); id <= s.lastID; id++ {
		if s.voters[id] && s.present(id) {
			return id
		}
	}
	return 0
}

// elect begins a new leadership. The new leader has heard nobody yet.
func (s *simulation) elect() {
	s.term++
	s.inherited = s.record
	for _, m := range s.machines {
		m.heardAt = 0
	}
}

// status returns the group as the core of its leader reports it.
func (s *simulation) status() *consensus.Status {
	status := &consensus.Status{ID: s.leader(), Term: s.term, Commit: 1}
	var members []consensus.Member
	for id := topology.ReplicaID(1); id <= s.lastID; id++ {
		_, joins := s.joining[id]
		if !s.voters[id] && !joins {
			continue
		}
		members = append(members, consensus.Member{ID: id, Learner: joins, Seat: s.reserved[id]})
		if id == status.ID {
			continue
		}
		peer := consensus.PeerStatus{ID: id, HeardAt: s.machines[id].heardAt}
		if s.present(id) {
			peer.Match = status.Commit
		}
		status.Peers = append(status.Peers, peer)
	}
	status.Membership = consensus.NewMembership(members...)
	return status
}

// members returns the group as its leader sees it.
func (s *simulation) members() []seats.Member { return s.silence.Members(s.status()) }

// run plays a time in steps, as the leader's ticks do.
func (s *simulation) run(length time.Duration) {
	const step = 100 * time.Millisecond
	for end := s.now + length; s.now < end; s.now += step {
		if !s.hasQuorum() {
			s.quorumLost = true
			continue
		}
		s.silence.Observe(s.status(), s.now)
		s.silence.Inherit(s.inherited)
		if record, changed := s.silence.Record(s.record, removeAfter-seats.ReplaceAfter); changed {
			s.record = record
		}
		s.giveSeats()
		if dead := s.remove(s.members()); dead != 0 {
			delete(s.voters, dead)
			delete(s.joining, dead)
			delete(s.reserved, dead)
		}
		for id, m := range s.machines {
			if s.present(id) {
				m.heardAt = s.now
			}
		}
	}
}

// giveSeats admits joining controllers. Members that lost their seat join anew.
func (s *simulation) giveSeats() {
	const catchUp = 500 * time.Millisecond
	for id := topology.ReplicaID(1); id <= s.lastID; id++ {
		_, joins := s.joining[id]
		if !joins && !s.voters[id] && s.present(id) && s.now >= s.machines[id].absentUntil+noticesAfter {
			s.joining[id] = s.now
		}
		if started, joins := s.joining[id]; !joins || !s.present(id) || s.now < started+catchUp {
			continue
		}
		admission := s.admit(s.members(), id)
		if admission.Action == seats.Wait {
			continue
		}
		delete(s.voters, admission.Replaced)
		delete(s.reserved, admission.Replaced)
		s.voters[id] = true
		delete(s.joining, id)
		delete(s.reserved, id)
	}
}

// emptyDisk makes a voter's machine come back at once with an empty disk, as a new member.
func (s *simulation) emptyDisk(old topology.ReplicaID) {
	s.machines[old].gone = true
	joining := s.start()
	s.joining[joining] = s.now
	s.reserved[joining] = !s.givesUpSeats
	delete(s.voters, old)
}

// loseDiskBesideSilentMember makes a voter absent for less than it takes to lose its seat without a
// successor, and another one lose its disk meanwhile. The leader may be another one at any moment.
func (s *simulation) loseDiskBesideSilentMember() {
	const countsAgain = 4 * time.Second
	silent := s.draw("silent")
	absent := time.Duration(rapid.IntRange(30, 90).Draw(s.t, "absence")) * 100 * time.Millisecond
	s.machines[silent].absentUntil = s.now + absent
	before := time.Duration(rapid.IntRange(0, int(absent/time.Second)).Draw(s.t, "absence before")) * time.Second
	s.runWithRestarts(before, rapid.IntRange(0, 1).Draw(s.t, "restarts before"))
	s.emptyDisk(s.draw("wiped"))
	s.runWithRestarts(absent-before+countsAgain, rapid.IntRange(0, 2).Draw(s.t, "restarts"))
}

// restartAll ends all processes at once. After a while they are back and elect a leader.
func (s *simulation) restartAll() {
	const ledAgainAfter = 500 * time.Millisecond
	s.now += ledAgainAfter
	s.elect()
}

// replace removes voters' machines for good and starts their successors, at the pace that is
// allowed. Meanwhile all processes may end at once, a number of times.
func (s *simulation) replace(count, restarts int) {
	const successorAfter, countsAgain = 2 * time.Second, 4 * time.Second
	for range count {
		s.machines[s.draw("replaced")].gone = true
	}
	s.runWithRestarts(successorAfter, restarts/2)
	for range count {
		s.joining[s.start()] = s.now
	}
	s.runWithRestarts(countsAgain, restarts-restarts/2)
}

// runWithRestarts plays a time that is divided by restarts of all processes.
func (s *simulation) runWithRestarts(length time.Duration, restarts int) {
	const step = 100 * time.Millisecond
	for ; restarts > 0; restarts-- {
		led := time.Duration(rapid.IntRange(0, int(length/step)/restarts).Draw(s.t, "led for")) * step
		s.run(led)
		s.restartAll()
		length -= led
	}
	s.run(length)
}

// disturb makes a voter absent for a time, which counts as lost for a while after it is back.
func (s *simulation) disturb() {
	const countsAgain = 4 * time.Second
	absent := time.Duration(rapid.IntRange(1, 150).Draw(s.t, "absence")) * 100 * time.Millisecond
	s.machines[s.draw("disturbed")].absentUntil = s.now + absent
	s.run(absent + countsAgain)
}

// draw returns a voter that is present.
func (s *simulation) draw(label string) topology.ReplicaID {
	var present []topology.ReplicaID
	for id := topology.ReplicaID(1); id <= s.lastID; id++ {
		if s.voters[id] && s.present(id) {
			present = append(present, id)
		}
	}
	return rapid.SampledFrom(present).Draw(s.t, label)
}

// presentMachines counts the machines that are there.
func (s *simulation) presentMachines() int {
	count := 0
	for id := range s.machines {
		if s.present(id) {
			count++
		}
	}
	return count
}

// disturbTwo makes two voters absent for a time.
func (s *simulation) disturbTwo() {
	const absent, countsAgain = 2 * time.Second, 4 * time.Second
	s.machines[s.draw("first")].absentUntil = s.now + absent
	s.machines[s.draw("second")].absentUntil = s.now + absent
	s.run(absent + countsAgain)
}

// runInShortTerms plays a time in leaderships that are shorter than ReplaceAfter.
func (s *simulation) runInShortTerms(length time.Duration) {
	const step = 100 * time.Millisecond
	shortest, longest := int(2*seats.PresentWithin/step), int(seats.ReplaceAfter/step)-1
	for end := s.now + length; s.now < end; {
		s.run(time.Duration(rapid.IntRange(shortest, longest).Draw(s.t, "led for")) * step)
		s.restartAll()
	}
}
