package load_test

import (
	"cmp"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/quartzdock/quartzdock/internal/wire"
	"github.com/quartzdock/quartzdock/lab/ledger"
)

// startBreaking starts a server that answers the first request on each
// connection and closes it without a word at the second, as a server does whose
// idle timeout strikes, or that is killed. It counts what it saw by request id.
func startBreaking(t *testing.T) (address string, seen func() map[string]int) {
	var mutex sync.Mutex
	requests := make(map[string]int)
	connections := make(map[string]int)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mutex.Lock()
		requests[r.Header.Get(wire.HeaderRequestID)]++
		connections[r.RemoteAddr]++
		second := connections[r.RemoteAddr] > 1
		mutex.Unlock()
		if second {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), func() map[string]int {
		mutex.Lock()
		defer mutex.Unlock()
		return maps.Clone(requests)
	}
}

func sortedByDue(entries []ledger.CallerEntry) []ledger.CallerEntry {
	slices.SortFunc(entries, func(a, b ledger.CallerEntry) int { return cmp.Compare(a.Due, b.Due) })
	return entries
}
