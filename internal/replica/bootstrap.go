package replica

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"reflect"
	"strconv"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/storage"
	"github.com/quartzdock/quartzdock/internal/storage/vfs"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// bootstrap agrees on the initial membership, which names each initial member
// with the incarnation of its data folder. It is a two-phase commit among the
// configured peers:
//
//  1. Each member sends its incarnation. A member that has received all of them
//     durably stores the resulting membership, which it never changes, and sends
//     it to the others.
//  2. A member that has received the same membership from all others starts the
//     group.
//
// A replica that lost its data folder has another incarnation. The others respond that the
// group is already bootstrapped, or that they have stored a membership without this
// incarnation, so it does not start a group. It waits until a membership change adds its new
// incarnation.
type bootstrap struct {
	r            *Replica
	nextNoticeAt time.Duration
	// notices holds the last notice of each peer, including this replica.
	notices map[topology.ReplicaID]bootstrapNotice
	// prepared is the membership stored in the first phase.
	prepared       *consensus.Membership
	conflictLogged bool
	// unverified is set if the folder may be a copy from before the bootstrap.
	unverified bool
}

// bootstrapNotice is the message that replicas exchange to bootstrap a group.
type bootstrapNotice struct {
	ID          topology.ReplicaID
	Incarnation topology.Incarnation
	Prepared    *consensus.Membership
	// Founded is set if the sender's group is already bootstrapped. Prepared is
	// then nil.
	Founded bool
}

const (
	bootstrapFileName = "founding.json"
	bootstrapInterval = 100 * time.Millisecond
)

func (b *bootstrap) path() string { return b.r.config.DataDir + "/" + bootstrapFileName }

func (b *bootstrap) load() error {
	if len(b.initialMembers()) == 0 {
		b.r.config.Logger.Info("waiting to be added to the group as a new member",
			"incarnation", formatIncarnation(b.r.incarnation), "peer_address", b.r.Address())
	}
	b.notices = map[topology.ReplicaID]bootstrapNotice{}
	content, err := vfs.ReadAll(b.r.config.FS, b.path())
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("bootstrap: %w", err)
	}
	var prepared consensus.Membership
	if err := json.Unmarshal(content, &prepared); err != nil {
		return &storage.DamageError{File: b.path(), Reason: err.Error(), Advice: storage.AdviceReplace}
	}
	b.prepared = &prepared
	return nil
}

// initialMembers returns the initial members of the group. A replica without
// peers is a group of one. A replica without an ID joins an existing group and
// has none.
func (b *bootstrap) initialMembers() []Peer {
	config := b.r.config
	if config.ID == 0 {
		return nil
	}
	if len(config.Peers) == 0 {
		return []Peer{{ID: config.ID, Address: b.r.Address()}}
	}
	return config.Peers
}

func (b *bootstrap) tick(now time.Duration) {
	if now < b.nextNoticeAt || len(b.initialMembers()) == 0 {
		return
	}
	b.nextNoticeAt = now + bootstrapInterval
	notice := b.notice()
	b.notices[notice.ID] = notice
	b.advance()
	if b.r.control.core != nil {
		return
	}
	for _, peer := range b.initialMembers() {
		if peer.ID != b.r.config.ID {
			notice := b.notice()
			b.r.peers.sendTo(peer.Address, envelope{Founding: &notice})
		}
	}
}

func (b *bootstrap) notice() bootstrapNotice {
	return bootstrapNotice{
		ID:          b.r.config.ID,
		Incarnation: b.r.incarnation,
		Prepared:    b.prepared,
	}
}

// receive handles a notice of a peer. If this replica's group is already bootstrapped, it
// responds with a notice that reports this.
func (b *bootstrap) receive(received envelope) {
	notice := *received.Founding
	if b.r.control.core != nil {
		if !notice.Founded {
			response := bootstrapNotice{ID: b.r.files.folder.Identity().Replica, Founded: true}
			b.r.peers.sendTo(received.Address, envelope{Founding: &response})
		}
		return
	}
	if notice.Founded && b.prepared != nil {
		return
	}
	if notice.Founded {
		b.warnOnce("the group is already bootstrapped; this replica waits to be added as a new member")
		return
	}
	b.notices[notice.ID] = notice
	b.advance()
}

func (b *bootstrap) warnOnce(message string) {
	if b.conflictLogged {
		return
	}
	b.conflictLogged = true
	b.r.config.Logger.Warn(message, "incarnation", formatIncarnation(b.r.incarnation), "peer_address", b.r.Address())
}

// formatIncarnation formats an incarnation as operators enter it in commands.
func formatIncarnation(incarnation topology.Incarnation) string {
	return strconv.FormatUint(uint64(incarnation), 16)
}

// advance enters the next phase once the notices of all initial members allow
// it.
func (b *bootstrap) advance() {
	if b.r.control.core != nil {
		return
	}
	if b.prepared == nil && !b.prepare() {
		return
	}
	for _, peer := range b.initialMembers() {
		theirs := b.notices[peer.ID].Prepared
		if peer.ID != b.r.config.ID && (theirs == nil || !reflect.DeepEqual(*theirs, *b.prepared)) {
			if theirs != nil {
				b.warnOnce("the initial members disagree on the membership: the data folder of one of them was replaced; empty the data folders of all of them and start again")
			}
			return
		}
	}
	b.complete(b.r.config.ID, *b.prepared)
}

// prepare stores the membership that results from the notices of all initial
// members. It returns false if a notice is missing or the write failed.
func (b *bootstrap) prepare() bool {
	var members []consensus.Member
	for _, peer := range b.initialMembers() {
		notice, ok := b.notices[peer.ID]
		if !ok {
			return false
		}
		members = append(members, consensus.Member{ID: peer.ID, Incarnation: notice.Incarnation, Address: peer.Address})
	}
	membership := consensus.NewMembership(members...)
	content, err := json.MarshalIndent(membership, "", "  ")
	if err != nil {
		panic(err) // a struct of plain fields can always be encoded
	}
	if err := vfs.WriteAtomically(b.r.config.FS, b.r.config.DataDir, bootstrapFileName, content); err != nil {
		b.r.fail(&storage.SyncError{File: b.path(), Err: err})
		return false
	}
	b.prepared = &membership
	return true
}

// joinGroup starts the core when a member of the group sends a message to this
// replica's incarnation. It returns false if the message is not addressed to
// this replica or the core could not be started.
func (b *bootstrap) joinGroup(m consensus.Message) bool {
	identity := b.r.files.folder.Identity()
	if m.Group != b.r.config.Group || m.ToIncarnation != identity.Incarnation || m.To == 0 {
		return false
	}
	if identity.Replica != 0 && identity.Replica != m.To {
		return false
	}
	var membership consensus.Membership
	if b.prepared != nil && b.prepared.HasIncarnation(m.To, m.ToIncarnation) {
		membership = *b.prepared
	}
	return b.complete(m.To, membership)
}

// complete stores the ID and the initial membership and starts the core.
func (b *bootstrap) complete(id topology.ReplicaID, membership consensus.Membership) bool {
	first := consensus.Snapshot{Meta: consensus.SnapshotMeta{Membership: membership}}
	if err := b.r.files.folder.SetReplica(id); err != nil {
		b.r.fail(err)
		return false
	}
	if err := b.r.files.snapshots.Save(first); err != nil {
		b.r.fail(err)
		return false
	}
	if err := b.r.control.startCore(recoveredState{snapshot: first, unverified: b.unverified}); err != nil {
		b.r.fail(err)
		return false
	}
	message := "group bootstrapped"
	if len(membership.Members) == 0 {
		message = "admitted to the group as a new member"
	}
	b.r.config.Logger.Info(message, "replica", uint64(id), "members", len(membership.Members))
	return true
}
