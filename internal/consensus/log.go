package consensus

import "fmt"

// entryLog holds the entries after the compacted part of the log in memory.
type entryLog struct {
	// previousIndex and previousTerm are those of the entry before entries[0].
	previousIndex uint64
	previousTerm  uint64
	entries       []Entry
	// stable is the last index that is durable at this replica.
	stable    uint64
	committed uint64
	applied   uint64
}

func newEntryLog(snapshot SnapshotMeta, entries []Entry, commit uint64) (*entryLog, error) {
	l := &entryLog{previousIndex: snapshot.Index, previousTerm: snapshot.Term}
	for _, entry := range entries {
		if entry.Index <= snapshot.Index {
			continue
		}
		if entry.Index != l.lastIndex()+1 {
			return nil, fmt.Errorf("log: entry %d follows entry %d", entry.Index, l.lastIndex())
		}
		l.entries = append(l.entries, entry)
	}
	l.stable = l.lastIndex()
	l.committed = max(snapshot.Index, min(commit, l.stable))
	l.applied = snapshot.Index
	return l, nil
}

func (l *entryLog) lastIndex() uint64 { return l.previousIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of an entry; ok is false if the entry is compacted or
// missing.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.previousIndex:
		return l.previousTerm, true
	case index < l.previousIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.previousIndex-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	found, ok := l.term(index)
	return ok && found == term
}

// upToDate reports whether a log whose last entry has the given index and term
// is at least as up to date as this one, and so holds all entries that this one
// may have committed (Ongaro, section 3.6.1).
func (l *entryLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.lastIndex())
}

// entriesFrom returns the entries from index on, limited to maxBytes of data but
// at least one entry.
func (l *entryLog) entriesFrom(index uint64, maxBytes int) []Entry {
	if index <= l.previousIndex || index > l.lastIndex() {
		return nil
	}
	rest := l.entries[index-l.previousIndex-1:]
	size := 0
	for position, entry := range rest {
		size += len(entry.Data)
		if position > 0 && size > maxBytes {
			return rest[:position:position]
		}
	}
	return rest[:len(rest):len(rest)]
}

func (l *entryLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncateFrom drops the entry at index, which must not be committed, and all
// after it.
func (l *entryLog) truncateFrom(index uint64) {
	kept := index - l.previousIndex - 1
	// Copied, because messages in flight share the old array.
	l.entries = append([]Entry(nil), l.entries[:kept]...)
	l.stable = min(l.stable, index-1)
}

// compactTo drops the entries up to and including index, which a snapshot
// covers.
func (l *entryLog) compactTo(index uint64) {
	if index <= l.previousIndex || index > l.applied {
		return
	}
	term, _ := l.term(index)
	l.entries = append([]Entry(nil), l.entries[index-l.previousIndex:]...)
	l.previousIndex, l.previousTerm = index, term
}

// restore replaces the whole log with a snapshot.
func (l *entryLog) restore(meta SnapshotMeta) {
	*l = entryLog{
		previousIndex: meta.Index,
		previousTerm:  meta.Term,
		stable:        meta.Index,
		committed:     meta.Index,
		applied:       meta.Index,
	}
}

// conflictHint returns the last entry at or before index whose term is at most
// term: the last one at which a log that has the given term at index may match
// this log.
func (l *entryLog) conflictHint(index, term uint64) (hintIndex, hintTerm uint64) {
	index = min(index, l.lastIndex())
	for index > l.previousIndex {
		found, _ := l.term(index)
		if found <= term {
			return index, found
		}
		index--
	}
	return l.previousIndex, l.previousTerm
}
