package fleet

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// parentVariable makes the test binary play a bench that is then killed.
const parentVariable = "QUARTZDOCK_TEST_PARENT"

func TestMain(m *testing.M) {
	if folder := os.Getenv(parentVariable); folder != "" {
		playParent(folder)
	}
	os.Exit(m.Run())
}

// playParent starts a child, prints its process id and waits to be killed.
func playParent(folder string) {
	child := &Process{Name: "child", Log: filepath.Join(folder, "log"), binary: "sleep", arguments: []string{"60"}}
	if err := child.Start(); err != nil {
		os.Exit(1)
	}
	os.Stdout.WriteString(strconv.Itoa(child.ID()) + "\n")
	time.Sleep(time.Minute)
}

func TestKilledBenchLeavesNoProcess(t *testing.T) {
	parent := exec.Command(os.Args[0])
	parent.Env = append(os.Environ(), parentVariable+"="+t.TempDir())
	output, err := parent.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, parent.Start())
	line, err := bufio.NewReader(output).ReadString('\n')
	assert.NilError(t, err)
	child, err := strconv.Atoi(strings.TrimSpace(line))
	assert.NilError(t, err)
	assert.NilError(t, syscall.Kill(child, 0))

	assert.NilError(t, parent.Process.Kill())
	parent.Wait()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ended(child) {
			return poll.Success()
		}
		return poll.Continue("process %d still runs", child)
	})
}

// ended says whether a process has ended; one that nobody has waited for yet
// counts as ended.
func ended(pid int) bool {
	status, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return true
	}
	_, rest, _ := strings.Cut(string(status), ") ")
	return strings.HasPrefix(rest, "Z")
}

func TestProcessIsFrozenThawedAndKilled(t *testing.T) {
	process := &Process{Name: "p", Log: filepath.Join(t.TempDir(), "log"), binary: "sleep", arguments: []string{"60"}}
	assert.NilError(t, process.Start())
	assert.NilError(t, process.Freeze())
	assert.NilError(t, process.Thaw())
	assert.ErrorIs(t, process.WaitEnd(10*time.Millisecond), ErrStillRunning)
	assert.NilError(t, process.Kill())
	assert.Assert(t, !process.Running())
	assert.ErrorIs(t, process.Kill(), errNotRunning)
}
