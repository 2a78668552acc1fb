package steady_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// expiryPackages lists the packages whose leases, terms, grants and holds expire by time.
var expiryPackages = []string{
	"configlease", "consensus", "coordinator", "fleetcontroller", "gateway", "grants", "incarnation", "inforce", "keyhold", "keylease",
	"leadership", "ownership", "plannedstop", "quarantine", "ratelimit", "replica", "sentids",
}

// disallowedClock matches uses of clocks that don't include suspended time, and of the time of day of
// a reading, which jumps when the clock is set.
var disallowedClock = regexp.MustCompile(`\btime\.(Now|Since|Until)\(|\.WithDeadline\(|\.Unix(Milli|Micro|Nano)?\(\)`)

// allowedSeedUse marks the one use that is allowed: it reads the time of day for a random seed.
const allowedSeedUse = "UnixNano())"

// Code that enforces an expiry must not use a clock that stops while the machine is suspended:
// it would go on using a lease that other machines consider expired.
func TestExpiriesUseAClockThatIncludesSuspendedTime(t *testing.T) {
	for _, name := range expiryPackages {
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
				if disallowedClock.MatchString(line) && !strings.Contains(line, allowedSeedUse) {
					t.Errorf("%s:%d: %s", file, number+1, strings.TrimSpace(line))
				}
			}
		}
	}
}
