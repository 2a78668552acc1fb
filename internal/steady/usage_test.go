package steady_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// promising are the packages whose leases, terms, grants and holds end by time.
var promising = []string{
	"configlease", "consensus", "coordinator", "fleetcontroller", "gateway", "grants", "incarnation", "inforce", "keyhold", "keylease",
	"leadership", "ownership", "plannedstop", "quarantine", "replica",
}

// plainClock is what does not count suspended time.
var plainClock = regexp.MustCompile(`\btime\.(Now|Since|Until)\(|\.WithDeadline\(`)

// seedOnly is the one reading of the time of day that draws a seed.
const seedOnly = "UnixNano())"

// What ends a promise by time must not go by a clock that stands still while the machine is
// suspended.
func TestPromisesGoByAClockThatCountsSuspendedTime(t *testing.T) {
	for _, name := range promising {
		files, err := filepath.Glob("../" + name + "/*.go")
		assert.NilError(t, err)
		assert.Assert(t, len(files) > 0, name)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			content, err := os.ReadFile(file)
			assert.NilError(t, err)
			for number, line := range strings.Split(string(content), "\n") {
				if plainClock.MatchString(line) && !strings.Contains(line, seedOnly) {
					t.Errorf("%s:%d: %s", file, number+1, strings.TrimSpace(line))
				}
			}
		}
	}
}
