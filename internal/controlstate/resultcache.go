package controlstate

import "github.com/quartzdock/quartzdock/internal/topology"

// MaximumCachedResults is the number of operator command results kept for
// deduplication; the oldest are evicted first. At 1,100 changes a day it covers
// nine days.
const MaximumCachedResults = 10_000

// cachedResult is the stored result of an operator command.
type cachedResult struct {
	RequestID string
	Digest    Digest
	Author    string
	Result    Result
}

// resultCache holds the results of the latest operator commands by request ID,
// so that a resent command gets its original result and is not applied twice.
type resultCache struct {
	byID map[string]cachedResult
	// order holds the request IDs, oldest first. Entries before head have been
	// evicted.
	order []string
	head  int
}

func newResultCache() resultCache { return resultCache{byID: make(map[string]cachedResult)} }

func (c *resultCache) get(requestID string) (cachedResult, bool) {
	found, ok := c.byID[requestID]
	return found, ok
}

func (c *resultCache) add(entry cachedResult) {
	c.byID[entry.RequestID] = entry
	c.order = append(c.order, entry.RequestID)
	if len(c.byID) <= MaximumCachedResults {
		return
	}
	delete(c.byID, c.order[c.head])
	c.head++
	if c.head > MaximumCachedResults {
		c.order = append([]string(nil), c.order[c.head:]...)
		c.head = 0
	}
}

// oldestFirst returns all cached results, oldest first.
func (c *resultCache) oldestFirst() []cachedResult {
	result := make([]cachedResult, 0, len(c.byID))
	for _, id := range c.order[c.head:] {
		result = append(result, c.byID[id])
	}
	return result
}

// previousResult returns the cached result if the command's request ID was seen
// before, or a rejection if it was used for different content.
func (s *State) previousResult(command *Command) (Result, bool) {
	first, seen := s.results.get(command.RequestID)
	if !seen {
		return Result{}, false
	}
	if first.Digest != command.Digest {
		return Result{
			Revision: s.configRevision,
			RequestIDReused: &RequestIDReusedError{
				RequestID: command.RequestID,
				First:     firstRevision(first),
				Author:    first.Author,
			},
		}, true
	}
	result := first.Result
	result.Repeated = true
	return result, true
}

// firstRevision returns the revision of the first command with a request ID, or
// zero if that command was rejected.
func firstRevision(first cachedResult) topology.Revision {
	if first.Result.Err() != nil {
		return 0
	}
	return first.Result.Revision
}
