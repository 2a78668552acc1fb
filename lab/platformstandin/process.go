package platformstandin

import (
	"context"
	"syscall"
	"time"
)

// Grace is how long after its SIGTERM a process is killed, as the settings files
// tell the machines.
const Grace = 6 * time.Second

// Signal sends a signal to the machine's process and waits for its end. Any but
// SIGTERM is a fault, which lasts until the machine is started again.
func (m *Machine) Signal(signal syscall.Signal) {
	if signal != syscall.SIGTERM {
		m.fleet.Timeline.faultBegins(m.Name, time.Now())
	}
	_ = m.command.Process.Signal(signal)
	<-m.ended
}

// StopPlanned stops the machine's process as the platform does: SIGTERM, and
// SIGKILL only at the end of the grace (the settings files tell Grace), or where
// the context ends before. A process that is still there at the end of its grace
// breaks a promise.
func (m *Machine) StopPlanned(ctx context.Context, grace time.Duration) {
	timeline := m.fleet.Timeline
	stop := timeline.stopBegins(m.Name, time.Now(), grace)
	_ = m.command.Process.Signal(syscall.SIGTERM)
	timer := time.NewTimer(grace)
	defer timer.Stop()
	overran := false
	select {
	case <-m.ended:
	case <-ctx.Done():
		m.kill()
	case <-timer.C:
		overran = !m.hasEnded()
		m.kill()
	}
	timeline.stopEnds(stop, time.Now(), overran)
	if overran {
		m.fleet.Ledger.Broken("planned stop: %s got SIGTERM at %s and was still there %v later", m.Name, timeline.At(stop.Signalled), grace)
	}
}

// hasEnded says that the machine's process is gone.
func (m *Machine) hasEnded() bool {
	select {
	case <-m.ended:
		return true
	default:
		return false
	}
}

// kill ends the machine's process.
func (m *Machine) kill() {
	_ = m.command.Process.Kill()
	<-m.ended
}

// Freeze halts the machine's process until Thaw.
func (m *Machine) Freeze() {
	m.fleet.Timeline.faultBegins(m.Name, time.Now())
	_ = m.command.Process.Signal(syscall.SIGSTOP)
}

// Thaw lets a frozen process go on.
func (m *Machine) Thaw() {
	m.fleet.Ledger.excuse(m.Name)
	m.fleet.Ledger.departures.thaws(m.Name, time.Now())
	_ = m.command.Process.Signal(syscall.SIGCONT)
	m.fleet.Timeline.faultsEnd(m.Name, time.Now())
}
