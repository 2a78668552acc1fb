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

// founding agrees on the first membership, which must name each founding
// member with the incarnation of its data folder. It is a two-phase commit
// among the peers of the settings:
//
//  1. Each tells its incarnation. Who has heard all of them stores the
//     membership that follows, durably and once for all, and tells it.
//  2. Who has heard the same membership from all founds the group.
//
// A replica that lost its data folder has another incarnation: the others
// answer that the group is founded, or that they have stored a membership
// without it, and it founds nothing. It waits until a membership change admits
// its new incarnation.
type founding struct {
	r      *Replica
	nextAt time.Duration
	// heard is what each peer told, this replica included.
	heard map[topology.ReplicaID]foundingNotice
	// prepared is the membership stored in the first phase.
	prepared *consensus.Membership
	conflict bool
	// unproven: the folder may be a copy from before the founding.
	unproven bool
}

// foundingNotice is what a replica tells of itself.
type foundingNotice struct {
	ID          topology.ReplicaID
	Incarnation topology.Incarnation
	Prepared    *consensus.Membership
	// Founded: the sender's group exists, and Prepared is empty.
	Founded bool
}

const (
	foundingName     = "founding.json"
	foundingInterval = 100 * time.Millisecond
)

func (f *founding) path() string { return f.r.config.DataDir + "/" + foundingName }

func (f *founding) load(r *Replica) error {
	f.r = r
	if len(f.founders()) == 0 {
		r.config.Logger.Info("waiting to be added to the group as a new member",
			"incarnation", hexadecimal(r.incarnation), "peer_address", r.Address())
	}
	f.heard = map[topology.ReplicaID]foundingNotice{}
	content, err := vfs.ReadAll(r.config.FS, f.path())
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("founding: %w", err)
	}
	var prepared consensus.Membership
	if err := json.Unmarshal(content, &prepared); err != nil {
		return &storage.DamageError{File: f.path(), Reason: err.Error(), Advice: storage.AdviceReplace}
	}
	f.prepared = &prepared
	return nil
}

// founders returns the founding members; a replica without peers is its own
// group, and one without ID joins a group that exists.
func (f *founding) founders() []Peer {
	config := f.r.config
	if config.ID == 0 {
		return nil
	}
	if len(config.Peers) == 0 {
		return []Peer{{ID: config.ID, Address: f.r.Address()}}
	}
	return config.Peers
}

func (f *founding) tick(now time.Duration) {
	if now < f.nextAt || len(f.founders()) == 0 {
		return
	}
	f.nextAt = now + foundingInterval
	notice := f.notice()
	f.heard[notice.ID] = notice
	f.advance()
	if f.r.control.core != nil {
		return
	}
	for _, peer := range f.founders() {
		if peer.ID != f.r.config.ID {
			notice := f.notice()
			f.r.peers.sendTo(peer.Address, envelope{Founding: &notice})
		}
	}
}

func (f *founding) notice() foundingNotice {
	return foundingNotice{
		ID:          f.r.config.ID,
		Incarnation: f.r.incarnation,
		Prepared:    f.prepared,
	}
}

// receive takes a peer's notice. A founded replica answers that it is.
func (f *founding) receive(received envelope) {
	notice := *received.Founding
	if f.r.control.core != nil {
		if !notice.Founded {
			answer := foundingNotice{ID: f.r.files.folder.Identity().Replica, Founded: true}
			f.r.peers.sendTo(received.Address, envelope{Founding: &answer})
		}
		return
	}
	if notice.Founded && f.prepared != nil {
		return
	}
	if notice.Founded {
		f.logConflict("the group is founded already; this replica waits to be added as a new member")
		return
	}
	f.heard[notice.ID] = notice
	f.advance()
}

func (f *founding) logConflict(what string) {
	if f.conflict {
		return
	}
	f.conflict = true
	f.r.config.Logger.Warn(what, "incarnation", hexadecimal(f.r.incarnation), "peer_address", f.r.Address())
}

// hexadecimal is an incarnation as operators' commands take it.
func hexadecimal(incarnation topology.Incarnation) string {
	return strconv.FormatUint(uint64(incarnation), 16)
}

// advance enters the next phase when all founders have told enough.
func (f *founding) advance() {
	if f.r.control.core != nil {
		return
	}
	if f.prepared == nil && !f.prepare() {
		return
	}
	for _, peer := range f.founders() {
		told := f.heard[peer.ID].Prepared
		if peer.ID != f.r.config.ID && (told == nil || !reflect.DeepEqual(*told, *f.prepared)) {
			if told != nil {
				f.logConflict("the founding members disagree: one of them has another data folder than before; empty the data folders of all and start again")
			}
			return
		}
	}
	f.found(f.r.config.ID, *f.prepared)
}

// prepare stores the membership that follows from what all founders told.
func (f *founding) prepare() bool {
	var members []consensus.Member
	for _, peer := range f.founders() {
		told, ok := f.heard[peer.ID]
		if !ok {
			return false
		}
		members = append(members, consensus.Member{ID: peer.ID, Incarnation: told.Incarnation, Address: peer.Address})
	}
	membership := consensus.NewMembership(members...)
	content, err := json.MarshalIndent(membership, "", "  ")
	if err != nil {
		panic(err) // plain fields cannot fail
	}
	if err := vfs.WriteAtomically(f.r.config.FS, f.r.config.DataDir, foundingName, content); err != nil {
		f.r.fail(&storage.SyncError{File: f.path(), Err: err})
		return false
	}
	f.prepared = &membership
	return true
}

// join starts this replica when a founded member writes to its incarnation. It
// returns false where it is not admitted.
func (f *founding) join(m consensus.Message) bool {
	identity := f.r.files.folder.Identity()
	if m.Group != f.r.config.Group || m.ToIncarnation != identity.Incarnation || m.To == 0 {
		return false
	}
	if identity.Replica != 0 && identity.Replica != m.To {
		return false
	}
	var membership consensus.Membership
	if f.prepared != nil && f.prepared.Names(m.To, m.ToIncarnation) {
		membership = *f.prepared
	}
	return f.found(m.To, membership)
}

// found stores the ID and the first membership and starts the core.
func (f *founding) found(id topology.ReplicaID, membership consensus.Membership) bool {
	first := consensus.Snapshot{Meta: consensus.SnapshotMeta{Membership: membership}}
	if err := f.r.files.folder.SetReplica(id); err != nil {
		f.r.fail(err)
		return false
	}
	if err := f.r.files.snaps.Save(first); err != nil {
		f.r.fail(err)
		return false
	}
	if err := f.r.control.startCore(loaded{snapshot: first, unproven: f.unproven}); err != nil {
		f.r.fail(err)
		return false
	}
	what := "control state founded"
	if len(membership.Members) == 0 {
		what = "admitted to the group as a new member"
	}
	f.r.config.Logger.Info(what, "replica", uint64(id), "members", len(membership.Members))
	return true
}
