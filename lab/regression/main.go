// Command regression plays the standard days of deployments on the users' bench and
// compares their worth with earlier plays, as the journal has them. No figure is
// copied by hand.
//
//	go run ./lab/regression -since 20261202T2040                        compare
//	go run ./lab/regression -bench PATH -minutes 20 -days quiet-1,scale-1 SITE...   play, then compare
//
// A day that the journal has for the present commit is not played again, so that a
// break costs nothing: start it again with the same words.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "regression:", err)
		os.Exit(1)
	}
}

func run() error {
	journal := flag.String("journal", "journal", "folder of the bench's journal")
	since := flag.String("since", time.Now().UTC().Format("20060102T150405"), "first entry that counts as now, by the beginning of its name")
	bench := flag.String("bench", "", "the bench's program; without it nothing is played")
	minutes := flag.Int("minutes", 30, "no play is begun after this many minutes")
	days := flag.String("days", "quiet-1,scale-1,trouble-1", "days to play of each site, by name")
	flag.Parse()
	if *bench != "" {
		p, err := newPlayer(*bench, *journal, time.Duration(*minutes)*time.Minute)
		if err != nil {
			return err
		}
		if err := p.play(flag.Args(), *days); err != nil {
			return err
		}
	}
	plays, err := readJournal(*journal)
	if err != nil {
		return err
	}
	return printTable(os.Stdout, group(plays, *since))
}
