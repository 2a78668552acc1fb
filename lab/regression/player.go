package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// player plays days on the bench, one after the other: a large one takes 8 to 9 GB.
type player struct {
	bench   string
	journal string
	commit  string
	until   time.Time
}

// newPlayer returns one that begins no play after a time, for the present commit.
func newPlayer(bench, journal string, within time.Duration) (*player, error) {
	commit, err := exec.Command("git", "rev-parse", "HEAD").Output()
	if err != nil {
		return nil, fmt.Errorf("present commit: %w", err)
	}
	return &player{bench: bench, journal: journal, commit: strings.TrimSpace(string(commit)), until: time.Now().Add(within)}, nil
}

// play plays days, named with commas between them, of some sites' files.
func (p *player) play(sites []string, days string) error {
	for _, site := range sites {
		for day := range strings.SplitSeq(days, ",") {
			plays, err := readJournal(p.journal)
			if err != nil {
				return err
			}
			name := strings.TrimSuffix(filepath.Base(site), ".toml")
			switch {
			case played(plays, p.commit, name, day):
				fmt.Printf("%s %s: played on this commit already\n", name, day)
			case time.Now().After(p.until):
				fmt.Printf("%s %s: no time left\n", name, day)
			default:
				fmt.Printf("%s %s ...\n", name, day)
				command := exec.Command(p.bench, "run", site, day, "--why", "regression set")
				command.Stderr = os.Stderr
				if err := command.Run(); err != nil {
					fmt.Printf("%s %s: %v\n", name, day, err)
				}
			}
		}
	}
	return nil
}

// played reports whether a day was played on a commit as it is.
func played(plays []play, commit, site, day string) bool {
	for _, each := range plays {
		if each.commit == commit && !each.dirty && each.site == site && each.day == day {
			return true
		}
	}
	return false
}
