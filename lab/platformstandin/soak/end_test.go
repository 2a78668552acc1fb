package soak

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// processStat returns the parent of a process (proc(5)), and whether it lives.
func processStat(id string) (parent string, lives bool) {
	content, err := os.ReadFile(filepath.Join("/proc", id, "stat"))
	if err != nil {
		return "", false
	}
	_, rest, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 2 || fields[0] == "Z" || fields[0] == "X" {
		return "", false
	}
	return fields[1], true
}

// childrenOf returns the ids of the living children of a process.
func childrenOf(t *testing.T, parent int) []string {
	t.Helper()
	entries, err := os.ReadDir("/proc")
	assert.NilError(t, err)
	var children []string
	for _, entry := range entries {
		if of, lives := processStat(entry.Name()); lives && of == fmt.Sprint(parent) {
			children = append(children, entry.Name())
		}
	}
	return children
}

// A soak whose own process ends, by whatever signal, leaves no process of its
// fleet behind.
func TestTheFleetEndsWithItsSoak(t *testing.T) {
	program := buildProgram(t)
	lab := filepath.Join(t.TempDir(), "quartzdock-lab")
	output, err := exec.Command("go", "build", "-o", lab, "../../../cmd/quartzdock-lab").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	// A soak that is started with hang-ups ignored, as by nohup, goes on after one,
	// as it should. What has a handler here is not ignored by the processes that
	// are started from here.
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	defer signal.Stop(hangUps)
	for _, end := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGKILL} {
		t.Run(end.String(), func(t *testing.T) {
			command := exec.Command(lab, "soak", "--seed", "1", "--duration", "5m", "--program", program)
			command.Env = append(os.Environ(), "TMPDIR="+t.TempDir())
			assert.NilError(t, command.Start())
			ended := make(chan error, 1)
			go func() { ended <- command.Wait() }()
			t.Cleanup(func() { _ = command.Process.Kill() })
			var fleet []string
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if fleet = childrenOf(t, command.Process.Pid); len(fleet) < controllers+len(seriesServices) {
					return poll.Continue("%d processes", len(fleet))
				}
				return poll.Success()
			}, poll.WithTimeout(time.Minute), poll.WithDelay(10*time.Millisecond))
			assert.NilError(t, command.Process.Signal(end))
			select {
			case err := <-ended:
				assert.Assert(t, err != nil, "an end by a signal is no success")
			case <-time.After(time.Minute):
				t.Fatal("the soak does not end")
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				for _, id := range fleet {
					if _, lives := processStat(id); lives {
						return poll.Continue("process %s of the fleet is left", id)
					}
				}
				return poll.Success()
			}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
		})
	}
}
