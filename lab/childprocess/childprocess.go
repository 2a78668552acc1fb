// Package childprocess starts processes that are killed when the process that
// started them ends, however it ends.
package childprocess

import (
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// starterThread returns a channel of functions to run on one operating system
// thread that lives as long as this process. All children are started there: the
// kernel kills a child with SIGKILL when the thread that started it ends
// (Pdeathsig, see PR_SET_PDEATHSIG in prctl(2)), so a killed lab leaves no
// process behind.
var starterThread = sync.OnceValue(func() chan<- func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for task := range work {
			task()
		}
	}()
	return work
})

// Start starts a command whose process the kernel kills when this process ends.
func Start(command *exec.Cmd) error {
	if command.SysProcAttr == nil {
		command.SysProcAttr = &syscall.SysProcAttr{}
	}
	command.SysProcAttr.Pdeathsig = syscall.SIGKILL
	result := make(chan error)
	starterThread() <- func() { result <- command.Start() }
	return <-result
}
