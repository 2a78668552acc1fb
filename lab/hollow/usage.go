package hollow

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime/metrics"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// clockTick is the unit of processor time in /proc/PID/stat; Linux has
// reported hundredths of a second on all common machines since 2.6.
const clockTick = 10 * time.Millisecond

// Usage is what a process has used of the machine.
type Usage struct {
	// Processor time since the start of the process, user and system.
	Processor time.Duration
	// Resident memory in bytes, and its highest value so far.
	Resident, ResidentPeak uint64
	// Written to disk in bytes.
	Written uint64
	// Descriptors open.
	Descriptors int
}

// UsageOf reads the usage of a process from /proc.
func UsageOf(pid int) (Usage, error) {
	folder := filepath.Join("/proc", strconv.Itoa(pid))
	var usage Usage
	var err error
	if usage.Processor, err = processorTime(folder); err != nil {
		return Usage{}, err
	}
	if usage.Resident, err = keyedValue(filepath.Join(folder, "status"), "VmRSS:"); err != nil {
		return Usage{}, err
	}
	if usage.ResidentPeak, err = keyedValue(filepath.Join(folder, "status"), "VmHWM:"); err != nil {
		return Usage{}, err
	}
	usage.Resident *= 1 << 10
	usage.ResidentPeak *= 1 << 10
	if usage.Written, err = keyedValue(filepath.Join(folder, "io"), "write_bytes:"); err != nil {
		return Usage{}, err
	}
	descriptors, err := os.ReadDir(filepath.Join(folder, "fd"))
	if err != nil {
		return Usage{}, err
	}
	usage.Descriptors = len(descriptors)
	return usage, nil
}

// processorTime adds fields utime and stime of /proc/PID/stat (proc(5)), which
// are the 12th and 13th after the name in brackets.
func processorTime(folder string) (time.Duration, error) {
	text, err := os.ReadFile(filepath.Join(folder, "stat"))
	if err != nil {
		return 0, err
	}
	_, afterName, found := strings.Cut(string(text), ") ")
	fields := strings.Fields(afterName)
	if !found || len(fields) < 13 {
		return 0, fmt.Errorf("%s/stat: unexpected form", folder)
	}
	var ticks int64
	for _, field := range fields[11:13] {
		count, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%s/stat: %w", folder, err)
		}
		ticks += count
	}
	return time.Duration(ticks) * clockTick, nil
}

// keyedValue reads the number that follows a key in a file of /proc.
func keyedValue(file, key string) (uint64, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		rest, found := strings.CutPrefix(line, key)
		if !found {
			continue
		}
		fields := strings.Fields(rest)
		if len(fields) == 0 {
			break
		}
		return strconv.ParseUint(fields[0], 10, 64)
	}
	return 0, fmt.Errorf("%s: no %q", file, key)
}

// processorOfSelf is the processor time of this process, in the kernel's own
// resolution.
func processorOfSelf() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Runtime is what the Go runtime says of this process.
type Runtime struct {
	// Heap is the bytes of live and not yet collected objects.
	Heap uint64
	// Total is all memory that the runtime has from the kernel and keeps.
	Total uint64
	// Collector is processor time spent in garbage collection.
	Collector time.Duration
	// Goroutines now.
	Goroutines uint64
}

const (
	metricHeap       = "/memory/classes/heap/objects:bytes"
	metricTotal      = "/memory/classes/total:bytes"
	metricReleased   = "/memory/classes/heap/released:bytes"
	metricCollector  = "/cpu/classes/gc/total:cpu-seconds"
	metricGoroutines = "/sched/goroutines:goroutines"
)

func readRuntime() Runtime {
	samples := []metrics.Sample{
		{Name: metricHeap}, {Name: metricTotal}, {Name: metricReleased},
		{Name: metricCollector}, {Name: metricGoroutines},
	}
	metrics.Read(samples)
	return Runtime{
		Heap:       samples[0].Value.Uint64(),
		Total:      samples[1].Value.Uint64() - samples[2].Value.Uint64(),
		Collector:  time.Duration(samples[3].Value.Float64() * float64(time.Second)),
		Goroutines: samples[4].Value.Uint64(),
	}
}
