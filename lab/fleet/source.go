package fleet

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// source names the fleet's process that opened a connection on this machine.
// Linux lists the sockets in /proc/net/tcp and each process's open files in
// /proc/PID/fd (proc(5)).
func (l *Links) source(connection net.Conn) string {
	near, err := netip.ParseAddrPort(connection.RemoteAddr().String())
	if err != nil {
		return ""
	}
	far, err := netip.ParseAddrPort(connection.LocalAddr().String())
	if err != nil {
		return ""
	}
	inode, found := socketInode(near, far)
	if !found {
		return ""
	}
	for pid, name := range l.processes() {
		if holdsSocket(pid, inode) {
			return name
		}
	}
	return ""
}

// Columns of /proc/net/tcp.
const (
	columnLocal  = 1
	columnRemote = 2
	columnInode  = 9
)

// socketInode finds the socket with these two ends.
func socketInode(local, remote netip.AddrPort) (string, bool) {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return "", false
	}
	defer file.Close()
	wantLocal, wantRemote := procAddress(local), procAddress(remote)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		columns := strings.Fields(lines.Text())
		if len(columns) > columnInode && columns[columnLocal] == wantLocal && columns[columnRemote] == wantRemote {
			return columns[columnInode], true
		}
	}
	return "", false
}

// procAddress writes an IPv4 address as /proc/net/tcp does: its bytes as one
// number of the machine's own byte order.
func procAddress(address netip.AddrPort) string {
	bytes := address.Addr().Unmap().As4()
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(bytes[:]), address.Port())
}

func holdsSocket(pid int, inode string) bool {
	folder := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	entries, err := os.ReadDir(folder)
	if err != nil {
		return false
	}
	want := "socket:[" + inode + "]"
	for _, entry := range entries {
		if target, err := os.Readlink(filepath.Join(folder, entry.Name())); err == nil && target == want {
			return true
		}
	}
	return false
}
