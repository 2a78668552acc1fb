package fleet

import "time"

// plannedStopLimit is how long a single process may take to stop as asked.
const plannedStopLimit = 10 * time.Second

// NewProcess lays out a process outside a deployment, with its output appended
// to the file log. Start starts it.
func NewProcess(name, log, binary string, arguments ...string) *Process {
	return &Process{Name: name, Log: log, binary: binary, arguments: arguments}
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
