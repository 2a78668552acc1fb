package incarnation_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/quartzdock/quartzdock/internal/incarnation"
	_ "github.com/quartzdock/quartzdock/internal/rapidseed"
)

func TestParseInvertsName(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		identity := incarnation.Incarnation{
			ID: rapid.StringMatching(`[a-z0-9-]{1,20}`).Draw(t, "id"), Born: rapid.Int64Min(0).Draw(t, "born"),
		}
		assert.NilError(t, identity.Check())
		assert.Equal(t, incarnation.Parse(identity.Name()), identity)
		assert.Equal(t, incarnation.IDOf(identity.Name()), identity.ID)
	})
}

func TestNamesOfRunsUnderOneIDDiffer(t *testing.T) {
	one, other := incarnation.Incarnation{ID: "i", Born: 7}, incarnation.Incarnation{ID: "i", Born: 6}
	assert.Assert(t, one.Name() != other.Name())
	assert.Equal(t, incarnation.Incarnation{ID: "i"}.Name(), "i", "without a start time the name is the id")
}

func TestCheckRejectsInvalidIncarnations(t *testing.T) {
	for _, test := range []struct {
		identity incarnation.Incarnation
		want     error
	}{
		{incarnation.Incarnation{}, incarnation.ErrNoID},
		{incarnation.Incarnation{ID: strings.Repeat("i", 129)}, incarnation.ErrIDTooLong},
		{incarnation.Incarnation{ID: "i@7"}, incarnation.ErrIDHasSeparator},
		{incarnation.Incarnation{ID: "i", Born: -1}, incarnation.ErrNegativeStart},
	} {
		assert.ErrorIs(t, test.identity.Check(), test.want)
	}
	for _, name := range []string{"i@", "i@x", "i@-4", "i@0", "i@4@5"} {
		assert.Equal(t, incarnation.Parse(name), incarnation.Incarnation{ID: name})
	}
}
