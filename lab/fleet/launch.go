package fleet

import "time"

// plannedStopLimit is how long a single process may take to stop as asked.
const plannedStopLimit = 10 * time.Second

// NewProcess lays out a process outside a deployment, with its output appended
// to the file log. Start starts it.
func NewProcess(name, log, binary string, arguments ...string) *Process {
	return &Process{Name: name, Log: log, binary: binary, arguments: arguments}
}

// ID is the process id of the last start; zero before the first.
func (p *Process) ID() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// Stop asks for a planned stop and kills the process when it takes longer than
// plannedStopLimit. Stopping a process that has ended does nothing.
func (p *Process) Stop() {
	if p.Terminate() != nil {
		return
	}
	if p.WaitEnd(plannedStopLimit) == nil {
		return
	}
	_ = p.Kill()
}
