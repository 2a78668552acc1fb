//go:build !linux

package vfs

// Allocate implements File. Without fallocate no space is reserved, so a full
// disk is detected only when data is written.
func (f osFile) Allocate(size int64) error { return f.Truncate(size) }
