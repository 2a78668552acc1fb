package platformstandin

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Usage is what the processes of a fleet have used.
type Usage struct {
	// PeakMemory is the sum of the machines' peaks of resident memory, in bytes: of a
	// machine, that of its largest process. What a process gained between the last look
	// at it and its end is missing.
	PeakMemory int64
	// Processor is the time that all processes were on a processor.
	Processor time.Duration
}

// usage collects what processes use. VmHWM is gone with a process, so that it is read
// again and again.
type usage struct {
	mutex sync.Mutex
	// running has the machine of each process, by the process's id.
	running map[int]string
	peaks   map[string]int64
	// over is the processor time of processes that have ended.
	over time.Duration
}

func newUsage() *usage { return &usage{running: map[int]string{}, peaks: map[string]int64{}} }

func (u *usage) begins(machine string, process int) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.running[process] = machine
}

// ends takes a process that was waited for.
func (u *usage) ends(command *exec.Cmd) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	delete(u.running, command.Process.Pid)
	u.over += command.ProcessState.UserTime() + command.ProcessState.SystemTime()
}

// look reads what the running processes have used, and returns the total. A process that
// is just ending has nothing to read.
func (u *usage) look() Usage {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	total := Usage{Processor: u.over}
	for process, machine := range u.running {
		if status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process)); err == nil {
			u.peaks[machine] = max(u.peaks[machine], peakMemory(status))
		}
		if stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process)); err == nil {
			total.Processor += processorTime(stat)
		}
	}
	for _, peak := range u.peaks {
		total.PeakMemory += peak
	}
	return total
}

// WatchUsage looks at the fleet's processes until the context ends.
func (f *Fleet) WatchUsage(ctx context.Context) {
	const each = 250 * time.Millisecond
	ticker := time.NewTicker(each)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.usage.look()
		}
	}
}

// Usage returns what the fleet's processes have used until now.
func (f *Fleet) Usage() Usage { return f.usage.look() }

// PeakMemory returns the peak of a machine's resident memory until now, in bytes.
func (f *Fleet) PeakMemory(machine *Machine) int64 {
	f.usage.look()
	f.usage.mutex.Lock()
	defer f.usage.mutex.Unlock()
	return f.usage.peaks[machine.Name]
}

// peakMemory reads VmHWM of /proc/PID/status, in bytes.
func peakMemory(status []byte) int64 {
	const kilo = 1024
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			size, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			return size * kilo
		}
	}
	return 0
}

// processorTime reads utime and stime of /proc/PID/stat, fields 14 and 15 (proc(5)),
// which count ticks of a hundredth of a second. The second field, a name in brackets, may
// hold spaces.
func processorTime(stat []byte) time.Duration {
	const tick, utime, stime = 10 * time.Millisecond, 14 - 3, 15 - 3
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= stime {
		return 0
	}
	user, _ := strconv.ParseInt(fields[utime], 10, 64)
	system, _ := strconv.ParseInt(fields[stime], 10, 64)
	return time.Duration(user+system) * tick
}
