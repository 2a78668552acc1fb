package hollow

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"

	"golang.org/x/sys/unix"
)

// Packets counts TCP segments of the open connections of this process, bare
// acknowledgements among them.
type Packets struct{ In, Out uint64 }

// packetsOfSelf sums over the connections with the given peers, "IP:port".
// Connections that have closed are not counted any more.
func packetsOfSelf(peers []string) (Packets, error) {
	descriptors, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return Packets{}, fmt.Errorf("packets: %w", err)
	}
	var sum Packets
	for _, entry := range descriptors {
		descriptor, err := strconv.Atoi(entry.Name())
		if err != nil || !slices.Contains(peers, peerOf(descriptor)) {
			continue
		}
		// A descriptor may close between the two calls; then it counts no more.
		if info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			sum.In += uint64(info.Segs_in)
			sum.Out += uint64(info.Segs_out)
		}
	}
	return sum, nil
}

// peerOf returns the other end of a connection over IPv4, or nothing.
func peerOf(descriptor int) string {
	address, err := unix.Getpeername(descriptor)
	if err != nil {
		return ""
	}
	v4, ok := address.(*unix.SockaddrInet4)
	if !ok {
		return ""
	}
	return netip.AddrPortFrom(netip.AddrFrom4(v4.Addr), uint16(v4.Port)).String()
}
