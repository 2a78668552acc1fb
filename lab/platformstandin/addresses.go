package platformstandin

import (
	"fmt"
	"os"
)

// Numbers of machines among the addresses of a process.
const (
	firstCore = 1
	firstSide = 101
	// mostCores and mostSides are how many machines have addresses.
	mostCores = firstSide - firstCore
	mostSides = blockSize*hostsEach - mostCores
)

const (
	// blockSize is how many networks of 256 addresses a process has, and hostsEach how many
	// addresses of each are used.
	blockSize = 4
	hostsEach = 250
)

// hostIP returns the address of a machine by its number, from 1. Each process has
// loopback addresses of its own, so that fleets of several processes never ask for the
// same address and port.
func hostIP(number int) string {
	const second, secondCount, blocks = 64, 128, 256 / blockSize
	id := os.Getpid()
	third := id%blocks*blockSize + (number-1)/hostsEach
	return fmt.Sprintf("127.%d.%d.%d", second+id/blocks%secondCount, third, 1+(number-1)%hostsEach)
}
