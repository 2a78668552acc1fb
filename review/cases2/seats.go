package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"
)

const (
	// seatRounds is how many machines of the core are replaced at most, one after the other.
	seatRounds = 10
	// killAfter is when the processes of all other machines of the core are killed, counted from the
	// loss of one. They are back backAfter later.
	killAfter = 1900 * time.Millisecond
	backAfter = 500 * time.Millisecond
	// countsAgain is "sync_time", after which a machine that is new or back stops counting as lost.
	countsAgain = 4 * time.Second
	// readWithin is how long the configuration may not be readable once all machines are back:
	// "recovery" is 15 s.
	readWithin = 25 * time.Second
)

// lostSeats replaces machines of the core one after the other, each by an empty one at another address,
// and kills the processes of all others once while each is away. Then it reads the configuration.
func lostSeats(f *fleet, trouble bool) (int, error) {
	var cores []*machine
	for number := 1; number <= 5; number++ {
		core := f.core(number)
		core.boot = true
		cores = append(cores, core)
	}
	f.seeds = []string{cores[0].control(), cores[1].control(), cores[2].control()}
	for _, core := range cores {
		if err := core.start(); err != nil {
			return unrun, err
		}
	}
	all := func() []*machine { return cores }
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	status, text := f.operate(ctx, all, http.MethodPost, "/config/put", fmt.Sprintf(configuration, 7, 0))
	f.record.note("POST /config/put, version 7: %d %s", status, text)
	if status != http.StatusOK {
		return unrun, errors.New("no configuration")
	}
	time.Sleep(countsAgain)
	for round := 1; trouble && round <= seatRounds; round++ {
		successor, err := f.replaceOne(cores, round)
		if err != nil {
			return unrun, err
		}
		cores = append(slices.Clone(cores[1:]), successor)
		if !f.readable(cores) {
			f.record.note("CONFIG is broken: version 7 was acknowledged, and is not read back within %v after all machines are back (round %d)", readWithin, round)
			return broken, nil
		}
	}
	if !f.readable(cores) {
		return broken, nil
	}
	return held, nil
}

// replaceOne removes the machine that is oldest for good and starts its successor. Meanwhile the
// processes of all others are killed and started again. It returns once all of them count again.
func (f *fleet) replaceOne(cores []*machine, round int) (*machine, error) {
	lost := cores[0]
	began := time.Now()
	lost.kill()
	f.record.note("round %d: %s is removed for good", round, lost.name)
	time.Sleep(time.Until(began.Add(killAfter)))
	for _, core := range cores[1:] {
		core.signal(os.Kill)
	}
	for _, core := range cores[1:] {
		core.kill()
	}
	f.record.note("the processes of all %d others are killed", len(cores)-1)
	time.Sleep(time.Until(began.Add(successorAfter)))
	f.seeds = []string{cores[1].control(), cores[2].control(), cores[3].control()}
	const firstSuccessor = 5
	successor := f.core(firstSuccessor + round)
	if err := successor.start(); err != nil {
		return nil, err
	}
	time.Sleep(time.Until(began.Add(killAfter + backAfter)))
	for _, core := range cores[1:] {
		if err := core.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(countsAgain)
	return successor, f.startEnded(cores[1:])
}

// startEnded starts the processes that have ended by themselves, as the platform does.
func (f *fleet) startEnded(cores []*machine) error {
	for _, core := range cores {
		select {
		case <-core.ended:
			f.record.note("the process of %s has ended by itself", core.name)
			if err := core.start(); err != nil {
				return err
			}
		default:
		}
	}
	return nil
}

// readable reports whether the configuration is read back within readWithin.
func (f *fleet) readable(cores []*machine) bool {
	ctx, cancel := context.WithTimeout(context.Background(), readWithin)
	defer cancel()
	status, text := f.operate(ctx, func() []*machine { return cores }, http.MethodGet, "/config/get", "")
	f.record.note("GET /config/get at %d machines: last status %d %.60s", len(cores), status, text)
	return status == http.StatusOK
}
