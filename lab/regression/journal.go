package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// play is one play of a day, as the users' bench noted it in the journal.
type play struct {
	// entry is the name of the journal's entry, which begins with its time.
	entry string
	// commit that was played, and whether the tree differed from it.
	commit string
	dirty  bool
	site   string
	day    string
	// worth of the day by the bench's account, and broken rules by name.
	worth  float64
	broken map[string]int
	gate   bool
}

// journalEntry has the fields of an entry that are read.
type journalEntry struct {
	Command string `json:"cmd"`
	Head    string `json:"head"`
	Dirty   bool   `json:"dirty"`
	Site    string `json:"site"`
	Days    []struct {
		Name  string         `json:"name"`
		Worth float64        `json:"G"`
		Rules map[string]int `json:"rules"`
		Gate  bool           `json:"gate"`
	} `json:"days"`
}

// readJournal returns the plays of standard days in the order of their time. Days
// that a score draws anew for each run, and those of hunts, have no other play to be
// compared with.
func readJournal(folder string) ([]play, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, err
	}
	slices.Sort(paths)
	var plays []play
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		var entry journalEntry
		if err := json.Unmarshal(content, &entry); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		plays = append(plays, entry.plays(strings.TrimSuffix(filepath.Base(path), ".json"))...)
	}
	return plays, nil
}

func (e *journalEntry) plays(name string) []play {
	if e.Command != "run" && e.Command != "score" {
		return nil
	}
	var plays []play
	for _, day := range e.Days {
		if strings.HasPrefix(day.Name, "fresh-") {
			continue
		}
		plays = append(plays, play{
			entry: name, commit: e.Head, dirty: e.Dirty, site: e.Site, day: day.Name,
			worth: day.Worth, broken: day.Rules, gate: day.Gate,
		})
	}
	return plays
}
