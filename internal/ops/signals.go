package ops

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// ErrStopTimeout is returned if a planned stop did not finish in time, or a second
// signal ended the wait for it.
var ErrStopTimeout = errors.New("planned stop did not finish in time")

// Lifecycle runs a process from its start to its planned stop.
type Lifecycle struct {
	// Run works until its context ends, then finishes work in progress and
	// returns.
	Run func(context.Context) error
	// Reload rereads the settings that can change without a restart.
	Reload func()
	// StopTimeout bounds the time from the signal to the return of Run.
	StopTimeout time.Duration
	Log         *slog.Logger
}

// RunUntilSignal runs a process until Run returns or a planned stop times out. The
// end of the context, SIGTERM and SIGINT begin a planned stop; a second such signal
// ends the wait for it. SIGHUP calls Reload.
func RunUntilSignal(ctx context.Context, lifecycle Lifecycle) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	return lifecycle.runUntil(ctx, signals)
}

// runUntil implements RunUntilSignal; tests pass their own signals.
func (lifecycle *Lifecycle) runUntil(ctx context.Context, signals <-chan os.Signal) error {
	running, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan error, 1)
	go func() { done <- lifecycle.Run(running) }()
	for {
		select {
		case err := <-done:
			return err
		case <-ctx.Done():
			return lifecycle.awaitStop(done, signals)
		case received := <-signals:
			if received == syscall.SIGHUP {
				lifecycle.Reload()
				continue
			}
			lifecycle.Log.Info("planned stop begins", "signal", received.String(), "timeout", lifecycle.StopTimeout)
			stop()
			return lifecycle.awaitStop(done, signals)
		}
	}
}

// awaitStop waits for Run to return, for at most StopTimeout.
func (lifecycle *Lifecycle) awaitStop(done <-chan error, signals <-chan os.Signal) error {
	timer := time.NewTimer(lifecycle.StopTimeout)
	defer timer.Stop()
	for {
		select {
		case err := <-done:
			if err != nil && !errors.Is(err, context.Canceled) {
				return err
			}
			lifecycle.Log.Info("planned stop finished")
			return nil
		case <-timer.C:
			return fmt.Errorf("%w: %s", ErrStopTimeout, lifecycle.StopTimeout)
		case received := <-signals:
			if received != syscall.SIGHUP {
				return fmt.Errorf("%w: second signal (%s)", ErrStopTimeout, received)
			}
		}
	}
}
