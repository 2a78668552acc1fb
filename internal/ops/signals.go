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

// ErrStopTimeout says that a planned stop did not finish in time.
var ErrStopTimeout = errors.New("planned stop did not finish in time")

// Lifecycle is a process from its start to its planned stop.
type Lifecycle struct {
	// Run does the work until its context ends, then finishes what is in
	// progress and returns.
	Run func(context.Context) error
	// Reload rereads what can change while running.
	Reload func()
	// StopTimeout bounds the time from the signal to the return of Run.
	StopTimeout time.Duration
	Log         *slog.Logger
}

// RunUntilSignal runs a process until it ends by itself, the context ends, or
// SIGTERM or SIGINT begins a planned stop. A second such signal gives up
// waiting. SIGHUP calls Reload.
func RunUntilSignal(ctx context.Context, life Lifecycle) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	return life.runUntil(ctx, signals)
}

// runUntil is RunUntilSignal with the signals as an argument.
func (life *Lifecycle) runUntil(ctx context.Context, signals <-chan os.Signal) error {
	running, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan error, 1)
	go func() { done <- life.Run(running) }()
	for {
		select {
		case err := <-done:
			return err
		case <-ctx.Done():
			return life.awaitStop(done, signals)
		case received := <-signals:
			if received == syscall.SIGHUP {
				life.Reload()
				continue
			}
			life.Log.Info("planned stop begins", "signal", received.String(), "timeout", life.StopTimeout)
			stop()
			return life.awaitStop(done, signals)
		}
	}
}

// awaitStop waits for Run to return, at most StopTimeout.
func (life *Lifecycle) awaitStop(done <-chan error, signals <-chan os.Signal) error {
	timer := time.NewTimer(life.StopTimeout)
	defer timer.Stop()
	for {
		select {
		case err := <-done:
			if err != nil && !errors.Is(err, context.Canceled) {
				return err
			}
			life.Log.Info("planned stop finished")
			return nil
		case <-timer.C:
			return fmt.Errorf("%w: %s", ErrStopTimeout, life.StopTimeout)
		case received := <-signals:
			if received != syscall.SIGHUP {
				return fmt.Errorf("%w: second signal (%s)", ErrStopTimeout, received)
			}
		}
	}
}
