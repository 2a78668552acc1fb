package main

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// verdict says how the plays of one code compare with those before.
type verdict string

// Verdicts.
const (
	lower   verdict = "lower"
	same    verdict = "same within the spread"
	higher  verdict = "higher"
	onlyNow verdict = "no play before"
)

// noise is the least difference of worth that means anything, by the bench's page.
const noise = 0.03

// series are the plays of one day.
type series struct {
	site, day string
	before    []play
	now       []play
}

// group sorts plays by site and day, and into those from an entry on and those before.
func group(plays []play, since string) []series {
	found := map[[2]string]*series{}
	for _, each := range plays {
		key := [2]string{each.site, each.day}
		if found[key] == nil {
			found[key] = &series{site: each.site, day: each.day}
		}
		if each.entry >= since {
			found[key].now = append(found[key].now, each)
		} else {
			found[key].before = append(found[key].before, each)
		}
	}
	var all []series
	for _, each := range found {
		if len(each.now) > 0 {
			all = append(all, *each)
		}
	}
	slices.SortFunc(all, func(a, b series) int { return cmp.Or(cmp.Compare(a.site, b.site), cmp.Compare(a.day, b.day)) })
	return all
}

// recent is how many of the plays before count: older ones are of much older code.
const recent = 6

// span is the mean, the least and the most worth of some plays.
type span struct{ mean, least, most float64 }

func spanOf(plays []play) span {
	of := span{least: plays[0].worth, most: plays[0].worth}
	for _, each := range plays {
		of.mean += each.worth / float64(len(plays))
		of.least = min(of.least, each.worth)
		of.most = max(of.most, each.worth)
	}
	return of
}

// judge compares the mean of the plays now with the spread of the last ones before.
func (s *series) judge() verdict {
	if len(s.before) == 0 {
		return onlyNow
	}
	before, now := spanOf(s.lastBefore()), spanOf(s.now)
	switch {
	case now.mean < before.least-noise:
		return lower
	case now.mean > before.most+noise:
		return higher
	}
	return same
}

func (s *series) lastBefore() []play { return s.before[max(0, len(s.before)-recent):] }

// rulesBroken lists the rules that some plays broke, with how often.
func rulesBroken(plays []play) string {
	counts := map[string]int{}
	for _, each := range plays {
		for rule, count := range each.broken {
			counts[rule] += count
		}
	}
	var texts []string
	for rule, count := range counts {
		texts = append(texts, fmt.Sprintf("%s %d", rule, count))
	}
	slices.Sort(texts)
	return cmp.Or(strings.Join(texts, ", "), "none")
}

// printTable writes a line for each day that was played now.
func printTable(out io.Writer, all []series) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "site\tday\tplays before\tworth before\tplays now\tworth now\trules broken now\tverdict")
	for i := range all {
		each := &all[i]
		before := "-"
		if len(each.before) > 0 {
			of := spanOf(each.lastBefore())
			before = fmt.Sprintf("%.3f (%.3f to %.3f)", of.mean, of.least, of.most)
		}
		now := spanOf(each.now)
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%d\t%.3f (%.3f to %.3f)\t%s\t%s\n", each.site, each.day, len(each.lastBefore()), before,
			len(each.now), now.mean, now.least, now.most, rulesBroken(each.now), each.judge())
	}
	return table.Flush()
}
