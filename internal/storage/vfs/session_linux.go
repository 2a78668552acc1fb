package vfs

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"golang.org/x/sys/unix"
)

// bootIDFile holds a random ID that the kernel generates at boot (proc(5)).
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// Session implements FS. Since Linux 6.8 every mount has a unique ID (statx(2),
// STATX_MNT_ID_UNIQUE). Older kernels reuse mount IDs, so the session is unknown
// there.
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
