package platformstandin

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// stopScript is a script of a request and of what was done to two machines, in
// seconds after the script's begin.
type stopScript struct {
	timeline *Timeline
	run      Run
	outcome  Outcome
}

func (s *stopScript) at(seconds float64) time.Time {
	return s.timeline.began.Add(time.Duration(seconds * float64(time.Second)))
}

// stops notes a planned stop.
func (s *stopScript) stops(machine string, signalled, ended float64) {
	s.timeline.stopEnds(s.timeline.stopBegins(machine, s.at(signalled), Grace), s.at(ended), false)
}

// fails notes a fault.
func (s *stopScript) fails(machine string, from, until float64) {
	s.timeline.faultBegins(machine, s.at(from))
	s.timeline.faultsEnd(machine, s.at(until))
}

// newStopScript has a request that is sent at 4.2 to "near", reaches the back end
// beside "far" at 4.25 and is cut at 5, with time until 6.7.
func newStopScript() *stopScript {
	s := &stopScript{timeline: NewTimeline()}
	s.run = Run{Request: "r", Instance: "i", Machine: "far", Began: s.at(4.25), Ended: s.at(5), Deadline: s.at(6.7), Cut: true}
	s.outcome = Outcome{Request: "r", Gateway: "near", Sent: s.at(4.2), Ended: s.at(5.01), Deadline: s.at(6.7), Got: `502 "broken-off"`}
	return s
}

// The check of planned stops finds what they cut, and lets go what the rules let
// go.
func TestTheCheckOfPlannedStops(t *testing.T) {
	cases := []struct {
		name   string
		script func(s *stopScript)
		want   Verdict
	}{
		{"cut by the stop beside the back end", func(s *stopScript) { s.stops("far", 0, 5) }, Broken},
		{"cut by the stop of the gateway that took it", func(s *stopScript) { s.stops("near", 0, 5) }, Broken},
		{"cut while its gateway has just been told to stop", func(s *stopScript) {
			s.stops("far", 0, 5)
			s.stops("near", 4.9, 9)
		}, Broken},
		{"at work since before the SIGTERM, and cut early in the grace", func(s *stopScript) { s.stops("far", 4.5, 5) }, Broken},
		{"the stop's end is not known yet", func(s *stopScript) { s.timeline.stopBegins("far", s.at(0), Grace) }, Broken},
		{"the run came to its end, and its answer was lost", func(s *stopScript) {
			s.stops("far", 0, 5)
			s.run.Cut = false
		}, Broken},
		{"no planned stop", func(*stopScript) {}, Untouched},
		{"the stop of a third machine", func(s *stopScript) { s.stops("other", 0, 5) }, Untouched},
		{"a stop that was over before the run", func(s *stopScript) { s.stops("far", 0, 4.2) }, Untouched},
		{"a stop that began after the run", func(s *stopScript) { s.stops("far", 5.005, 9) }, Untouched},
		{"no run", func(s *stopScript) {
			s.stops("far", 0, 5)
			s.run.Request = "another"
		}, Untouched},
		{"sent 3 s after the SIGTERM and in the last sixth", func(s *stopScript) {
			s.stops("far", 0, 5)
			s.outcome.Sent = s.at(3)
		}, Excused},
		{"sent 3 s after the SIGTERM and cut before the last sixth", func(s *stopScript) {
			s.stops("far", 0, 5)
			s.outcome.Sent, s.run.Ended = s.at(3), s.at(4.99)
		}, Broken},
		{"sent after 3 s and in the last sixth", func(s *stopScript) {
			s.stops("far", 0, 5)
			s.outcome.Sent = s.at(3.01)
		}, Broken},
		{"the caller's time was over", func(s *stopScript) {
			s.stops("far", 0, 5)
			s.outcome.Deadline = s.at(5.02)
		}, Excused},
		{"the back end's time was over", func(s *stopScript) {
			s.stops("far", 0, 5)
			s.run.Deadline = s.at(5.02)
		}, Excused},
		{"the back end broke off", func(s *stopScript) {
			s.stops("far", 0, 5)
			s.run.BrokeOff = true
		}, Excused},
		{"a fault beside the back end in the time", func(s *stopScript) {
			s.stops("far", 0, 5)
			s.fails("far", 4.5, 4.6)
		}, Excused},
		{"a fault of the gateway that took it in the time", func(s *stopScript) {
			s.stops("far", 0, 5)
			s.fails("near", 3, 4.3)
		}, Excused},
		{"a fault before the time, and one of a third machine", func(s *stopScript) {
			s.stops("far", 0, 5)
			s.fails("near", 1, 4)
			s.fails("other", 1, 6)
		}, Broken},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			script, ledger := newStopScript(), NewLedger()
			test.script(script)
			ledger.runs[script.run.Request] = []*Run{&script.run}
			verdict, told := ledger.CheckStops(script.timeline, script.outcome)
			assert.Equal(t, verdict, test.want, "%s", told)
			assert.Equal(t, told != "", verdict == Broken)
			if verdict == Broken {
				for _, part := range []string{"request r, sent to near at", "502", "i beside far was at work from 4.250s", "got SIGTERM at"} {
					assert.Assert(t, strings.Contains(told, part), "%q is not in %q", part, told)
				}
			}
		})
	}
}

// Of several runs of a request, one that a stop cut is enough.
func TestOneCutRunOfSeveralIsFound(t *testing.T) {
	script, ledger := newStopScript(), NewLedger()
	script.stops("far", 0, 5)
	before := script.run
	before.Machine = "other"
	ledger.runs["r"] = []*Run{&before, &script.run}
	verdict, _ := ledger.CheckStops(script.timeline, script.outcome)
	assert.Equal(t, verdict, Broken)
}

// A back end notes that a run was cut when its connection goes away, that it
// broke off itself when it has ended, and neither when the run came to its end.
func TestABackEndNotesRunsThatWereCut(t *testing.T) {
	for name, want := range map[string]Run{
		"whole": {}, "cut": {Cut: true}, "ended": {Cut: true, BrokeOff: true},
	} {
		t.Run(name, func(t *testing.T) {
			ledger := NewLedger()
			instance := &Instance{ID: "i", Machine: "far", ledger: ledger}
			begun := make(chan struct{})
			instance.Calls = func(ctx context.Context, _ LookUp) {
				close(begun)
				if name != "whole" {
					<-ctx.Done()
				}
			}
			server := httptest.NewServer(http.HandlerFunc(instance.work))
			defer server.Close()
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
			assert.NilError(t, err)
			request.Header.Set("Request-Id", "r")
			request.Header.Set(deadlineField, "60000")
			request.Header.Set(workField, "2")
			request.Header.Set(lookUpField, (&LookUp{Key: "1"}).header())
			go func() {
				<-begun
				if name == "ended" {
					instance.mutex.Lock()
					instance.state = "ended"
					instance.mutex.Unlock()
				}
				if name != "whole" {
					leave()
				}
			}()
			response, err := http.DefaultClient.Do(request)
			assert.Equal(t, err == nil, name == "whole", "%v", err)
			if err == nil {
				_ = response.Body.Close()
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if runs := ledger.RunsOf("r"); len(runs) == 1 && !runs[0].Ended.IsZero() {
					return poll.Success()
				}
				return poll.Continue("the run has not ended")
			}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))
			run := ledger.RunsOf("r")[0]
			assert.Equal(t, run.Cut, want.Cut)
			assert.Equal(t, run.BrokeOff, want.BrokeOff)
			assert.Assert(t, run.Machine == "far" && run.Deadline.After(run.Began.Add(time.Second)))
		})
	}
}

// A process that is still there at the end of its grace is killed and reported,
// one that ends in time is not.
func TestAProcessThatOutlastsItsGraceIsReported(t *testing.T) {
	for name, test := range map[string]struct {
		onSignal string
		broken   bool
	}{"stays": {"", true}, "ends": {"exit", false}} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			script := filepath.Join(folder, "program")
			const stays = "#!/bin/sh\ntrap '%s' TERM\ntouch \"$QUARTZDOCK_BOOT.up\"\nwhile :; do sleep 0.02; done\n"
			assert.NilError(t, os.WriteFile(script, []byte(strings.ReplaceAll(stays, "%s", test.onSignal)), 0o700))
			fleet, err := NewFleet(script, folder, 0, []string{"plain"})
			assert.NilError(t, err)
			machine := fleet.Sides[0]
			assert.NilError(t, machine.Start())
			t.Cleanup(fleet.Stop)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if _, err := os.Stat(filepath.Join(folder, machine.Name+".yaml.up")); err != nil {
					return poll.Continue("not up")
				}
				return poll.Success()
			}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))
			grace := time.Minute
			if test.broken {
				grace = 200 * time.Millisecond
			}
			machine.StopPlanned(t.Context(), grace)
			stops := fleet.Timeline.Stops()
			assert.Equal(t, len(stops), 1)
			assert.Equal(t, stops[0].Overran, test.broken)
			assert.Equal(t, len(fleet.Ledger.Violations()) > 0, test.broken, "%v", fleet.Ledger.Violations())
		})
	}
}

// Callers make no new connections to a machine that failed two questions in a
// row, and go on using those that are open.
func TestCallersKeepOpenConnectionsToAMachineThatIsNotReady(t *testing.T) {
	fleet, err := NewFleet("unused", t.TempDir(), 0, []string{"plain"})
	assert.NilError(t, err)
	machine := fleet.Sides[0]
	listener, err := net.Listen("tcp", machine.Outbound())
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	call := func() error {
		_, err := machine.CallReady(t.Context(), http.MethodPost, "h", "/", "r", "", "body", 0, nil)
		return err
	}
	assert.NilError(t, call())
	machine.left.Store(true)
	assert.NilError(t, call(), "the open connection goes on")
	machine.client.CloseIdleConnections()
	assert.ErrorIs(t, call(), ErrLeft)
	machine.left.Store(false)
	assert.NilError(t, call())
}
