package vfs

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"golang.org/x/sys/unix"
)

// bootIDFile holds a number that the kernel draws when it starts (proc(5)).
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// Session implements FS. A mount has a number of its own since Linux 6.8
// (statx(2), STATX_MNT_ID_UNIQUE); older kernels use numbers again, so nothing
// is known there.
func (OS) Session(dir string) string {
	boot, err := os.ReadFile(filepath.Clean(bootIDFile))
	if err != nil {
		return ""
	}
	var found unix.Statx_t
	err = unix.Statx(unix.AT_FDCWD, dir, 0, unix.STATX_MNT_ID_UNIQUE, &found)
	if err != nil || found.Mask&unix.STATX_MNT_ID_UNIQUE == 0 {
		return ""
	}
	return fmt.Sprintf("%s/%d", strings.TrimSpace(string(boot)), found.Mnt_id)
}
