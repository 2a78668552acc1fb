package load_test

import (
	"cmp"
	"slices"

	"github.com/quartzdock/quartzdock/lab/ledger"
)

func sortedByDue(entries []ledger.CallerEntry) []ledger.CallerEntry {
	slices.SortFunc(entries, func(a, b ledger.CallerEntry) int { return cmp.Compare(a.Due, b.Due) })
	return entries
}
