package vfs

import (
	"bytes"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"path"
	"slices"

	"sync"
	"syscall"
)

// sectorSize is the unit that a disk writes atomically.
const sectorSize = 512

// Memory is a file system in memory. Crash discards unsynced data except for a
// random part of it, as a disk does that loses power. Memory is safe for
// concurrent use.
type Memory struct {
	mu           sync.Mutex
	random       *rand.Rand
	names        map[string]*memoryNode
	durableNames map[string]*memoryNode
	locks        map[string]bool
	nextInode    uint64
	// capacity in bytes; zero means no limit.
	capacity  int64
	syncError error
	syncs     int
	// writeCount counts writes and serves as the time of change. sessionCount
	// counts crashes and restores.
	writeCount   int64
	sessionCount int
	// generation counts crashes and restores. It invalidates the file handles
	// that were opened before.
	generation int
}

type memoryNode struct {
	inode    uint64
	changed  int64
	content  []byte
	synced   []byte
	reserved int64
}

// NewMemory returns an empty file system. The seed determines what its crashes
// discard.
func NewMemory(seed uint64) *Memory {
	return &Memory{
		random:       rand.New(rand.NewPCG(seed, 0)),
		names:        map[string]*memoryNode{},
		durableNames: map[string]*memoryNode{},
		locks:        map[string]bool{},
	}
}

// Crash discards unsynced data, invalidates all open files and releases all
// locks. A random part of each file's unsynced sectors is kept.
func (m *Memory) Crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation++
	m.sessionCount++
	m.names = map[string]*memoryNode{}
	for _, name := range sortedNames(m.durableNames) {
		node := m.durableNames[name]
		m.loseUnsynced(node)
		m.names[name] = node
	}
	m.locks = map[string]bool{}
	m.syncError = nil
}

func sortedNames(nodes map[string]*memoryNode) []string {
	names := make([]string, 0, len(nodes))
	for name := range nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (m *Memory) loseUnsynced(node *memoryNode) {
	kept := slices.Clone(node.synced)
	if len(node.content) > len(kept) && m.random.IntN(2) == 0 {
		kept = append(kept, make([]byte, len(node.content)-len(kept))...)
	}
	for start := 0; start < min(len(kept), len(node.content)); start += sectorSize {
		end := min(start+sectorSize, len(kept), len(node.content))
		if m.random.IntN(2) == 0 {
			copy(kept[start:end], node.content[start:end])
		}
	}
	node.content = kept
	node.synced = slices.Clone(kept)
}

// Clone returns a copy of the durable files, which Restore can put back later.
func (m *Memory) Clone() map[string][]byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	files := make(map[string][]byte, len(m.durableNames))
	for name, node := range m.durableNames {
		files[name] = slices.Clone(node.synced)
	}
	return files
}

// Restore replaces all files, keeping the inode numbers of names that exist,
// as a block device restored from a copy does.
func (m *Memory) Restore(files map[string][]byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation++
	m.sessionCount++
	restored := map[string]*memoryNode{}
	for name, content := range files {
		node := &memoryNode{content: slices.Clone(content), synced: slices.Clone(content)}
		if old, ok := m.durableNames[name]; ok {
			node.inode = old.inode
		} else {
			m.nextInode++
			node.inode = m.nextInode
		}
		restored[name] = node
	}
	m.names = restored
	m.durableNames = make(map[string]*memoryNode, len(restored))
	for name, node := range restored {
		m.durableNames[name] = node
	}
	m.locks = map[string]bool{}
}

// SetCapacity limits the total size of all files in bytes; zero means no limit.
func (m *Memory) SetCapacity(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.capacity = bytes
}

// Used returns the total size of all files in bytes.
func (m *Memory) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used()
}

func (m *Memory) used() int64 {
	var used int64
	for _, node := range m.names {
		used += max(int64(len(node.content)), node.reserved)
	}
	return used
}

// FailSync makes the next Sync fail with err and discard the data that it should
// have synced.
func (m *Memory) FailSync(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncError = err
}

// Syncs returns the number of successful Sync calls.
func (m *Memory) Syncs() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.syncs
}

// Damage inverts the byte at an offset of a file, also in its synced content.
func (m *Memory) Damage(name string, offset int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	node := m.names[name]
	node.content[offset] ^= 0xff
	node.synced = slices.Clone(node.content)
}

// MakeDir implements FS. Folders need no creation: they exist through their files.
func (m *Memory) MakeDir(string) error { return nil }

// Create implements FS.
func (m *Memory) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextInode++
	node := &memoryNode{inode: m.nextInode}
	m.names[name] = node
	return &memoryFile{fs: m, node: node, name: name, generation: m.generation}, nil
}

// Open implements FS.
func (m *Memory) Open(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	node, ok := m.names[name]
	if !ok {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &memoryFile{fs: m, node: node, name: name, generation: m.generation}, nil
}

// Rename implements FS.
func (m *Memory) Rename(oldName, newName string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	node, ok := m.names[oldName]
	if !ok {
		return &fs.PathError{Op: "rename", Path: oldName, Err: fs.ErrNotExist}
	}
	delete(m.names, oldName)
	m.names[newName] = node
	return nil
}

// Remove implements FS.
func (m *Memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.names[name]; !ok {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	delete(m.names, name)
	return nil
}

// List implements FS.
func (m *Memory) List(dir string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for _, name := range sortedNames(m.names) {
		if path.Dir(name) == dir {
			names = append(names, path.Base(name))
		}
	}
	return names, nil
}

// SyncDir implements FS.
func (m *Memory) SyncDir(dir string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.durableNames {
		if path.Dir(name) == dir {
			delete(m.durableNames, name)
		}
	}
	for name, node := range m.names {
		if path.Dir(name) == dir {
			m.durableNames[name] = node
		}
	}
	return nil
}

// Lock implements FS.
func (m *Memory) Lock(name string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locks[name] {
		return nil, ErrLocked
	}
	m.locks[name] = true
	return memoryLock{m, name}, nil
}

// Identify implements FS.
func (m *Memory) Identify(name string) (FileIdentity, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	node, ok := m.names[name]
	if !ok {
		return FileIdentity{}, &fs.PathError{Op: "stat", Path: name, Err: fs.ErrNotExist}
	}
	return FileIdentity{Device: 1, Inode: node.inode, Changed: node.changed}, nil
}

// Session implements FS.
func (m *Memory) Session(string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fmt.Sprint("session ", m.sessionCount)
}

// Overwrite replaces a file's content in place, as a copy program does.
func (m *Memory) Overwrite(name string, content []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	node := m.names[name]
	node.content, node.synced = slices.Clone(content), slices.Clone(content)
	m.touch(node)
}

func (m *Memory) touch(node *memoryNode) {
	m.writeCount++
	node.changed = m.writeCount
}

type memoryLock struct {
	fs   *Memory
	name string
}

// Close releases the lock.
func (l memoryLock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	delete(l.fs.locks, l.name)
	return nil
}

type memoryFile struct {
	fs         *Memory
	node       *memoryNode
	name       string
	generation int
}

// lock locks the file system's mutex. It fails if a crash has invalidated the file.
func (f *memoryFile) lock() error {
	f.fs.mu.Lock()
	if f.generation != f.fs.generation {
		f.fs.mu.Unlock()
		return fmt.Errorf("%s: %w", f.name, fs.ErrClosed)
	}
	return nil
}

// ReadAt implements File.
func (f *memoryFile) ReadAt(buffer []byte, offset int64) (int, error) {
	if err := f.lock(); err != nil {
		return 0, err
	}
	defer f.fs.mu.Unlock()
	return bytes.NewReader(f.node.content).ReadAt(buffer, offset)
}

// WriteAt implements File.
func (f *memoryFile) WriteAt(data []byte, offset int64) (int, error) {
	if err := f.lock(); err != nil {
		return 0, err
	}
	defer f.fs.mu.Unlock()
	if err := f.grow(offset + int64(len(data))); err != nil {
		return 0, err
	}
	f.fs.touch(f.node)
	return copy(f.node.content[offset:], data), nil
}

// Size implements File.
func (f *memoryFile) Size() (int64, error) {
	if err := f.lock(); err != nil {
		return 0, err
	}
	defer f.fs.mu.Unlock()
	return int64(len(f.node.content)), nil
}

// Truncate implements File.
func (f *memoryFile) Truncate(size int64) error {
	if err := f.lock(); err != nil {
		return err
	}
	defer f.fs.mu.Unlock()
	if size <= int64(len(f.node.content)) {
		f.node.content = slices.Clone(f.node.content[:size])
		f.node.reserved = size
		return nil
	}
	return f.grow(size)
}

// Allocate implements File.
func (f *memoryFile) Allocate(size int64) error {
	if err := f.lock(); err != nil {
		return err
	}
	defer f.fs.mu.Unlock()
	return f.grow(size)
}

func (f *memoryFile) grow(size int64) error {
	more := size - int64(len(f.node.content))
	if more <= 0 {
		return nil
	}
	if f.fs.capacity > 0 && f.fs.used()+more > f.fs.capacity {
		return &fs.PathError{Op: "write", Path: f.name, Err: syscall.ENOSPC}
	}
	f.node.content = append(f.node.content, make([]byte, more)...)
	return nil
}

// Sync implements File.
func (f *memoryFile) Sync() error {
	if err := f.lock(); err != nil {
		return err
	}
	defer f.fs.mu.Unlock()
	if err := f.fs.syncError; err != nil {
		f.fs.syncError = nil
		f.node.content = slices.Clone(f.node.synced)
		return &fs.PathError{Op: "sync", Path: f.name, Err: err}
	}
	f.fs.syncs++
	f.node.synced = slices.Clone(f.node.content)
	return nil
}

// Close implements File.
func (f *memoryFile) Close() error { return nil }
