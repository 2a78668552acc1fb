// Command cases2 plays the cases of the second review: it starts the project's programs as separate
// processes with stand-ins of operators, back ends and clients, and checks one rule. It exits with 1
// if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// Exit statuses.
const (
	held   = 0
	broken = 1
	unrun  = 2
)

// cases are the cases by name.
var cases = map[string]func(f *fleet, trouble bool) (int, error){
	"lost-seed":    lostSeed,
	"slow-readers": slowReaders,
	"empty-host":   emptyHost,
	"lost-seats":   lostSeats,
	"idle-clients": idleConnections,
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays one case: its name and its folder are the arguments.
func run(arguments []string) int {
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases2 CASE FOLDER")
		return unrun
	}
	record, err := newRecord(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unrun
	}
	f, err := newFleet(record)
	if err != nil {
		record.note("cannot run: %v", err)
		return unrun
	}
	defer f.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	record.note("case %s, disruption: %v", arguments[0], trouble)
	status, err := cases[arguments[0]](f, trouble)
	if err != nil {
		record.note("cannot run: %v", err)
		return unrun
	}
	record.note("exit status %d", status)
	return status
}
