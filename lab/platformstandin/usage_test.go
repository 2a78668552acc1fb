package platformstandin

import (
	"os"
	"os/exec"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The name in brackets holds what looks like fields.
func TestProcessorTimeIsReadBehindTheName(t *testing.T) {
	stat := []byte("77 (a) b) S 1 2 3 4 5 6 7 8 9 10 150 25 0 0 20 0 1 0")
	assert.Equal(t, processorTime(stat), 1750*time.Millisecond)
	assert.Equal(t, processorTime([]byte("77 (a) S")), time.Duration(0))
	assert.Equal(t, processorTime(nil), time.Duration(0))
}

func TestPeakMemoryIsReadInBytes(t *testing.T) {
	assert.Equal(t, peakMemory([]byte("VmPeak:\t 99 kB\nVmHWM:\t    2048 kB\nVmRSS:\t 7 kB\n")), int64(2<<20))
	assert.Equal(t, peakMemory([]byte("State:\tZ (zombie)\n")), int64(0))
}

// What a process used still counts when it has ended, and its machine's next process adds
// to the processor time and not to the peak.
func TestUsageOutlastsAProcess(t *testing.T) {
	used := newUsage()
	used.begins("side-1", os.Getpid())
	before := used.look()
	assert.Assert(t, before.PeakMemory > 0)
	command := exec.Command("true")
	assert.NilError(t, command.Run())
	delete(used.running, os.Getpid())
	used.begins("side-1", command.Process.Pid)
	used.ends(command)
	after := used.look()
	assert.Equal(t, after.PeakMemory, before.PeakMemory)
	assert.Equal(t, len(used.running), 0)
	assert.Equal(t, after.Processor, command.ProcessState.UserTime()+command.ProcessState.SystemTime())
}
