// Package childprocess starts processes that end with the process that started
// them, however that one ends.
package childprocess

import (
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// starter starts all processes on one operating system thread that lives as
// long as this process: the kernel ends a child with SIGKILL once the thread
// that started it ends (Pdeathsig, prctl(2)), so that a killed lab leaves no
// process behind.
var starter = sync.OnceValue(func() chan<- func() {
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
	starter() <- func() { result <- command.Start() }
	return <-result
}
