package incarnation_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/quartzdock/quartzdock/internal/incarnation"
	_ "github.com/quartzdock/quartzdock/internal/rapidseed"
)

func TestNamesAreReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		life := incarnation.Incarnation{
			ID: rapid.StringMatching(`[a-z0-9-]{1,20}`).Draw(t, "id"), Born: rapid.Int64Min(0).Draw(t, "born"),
		}
		assert.NilError(t, life.Check())
		assert.Equal(t, incarnation.Parse(life.Name()), life)
		assert.Equal(t, incarnation.IDOf(life.Name()), life.ID)
	})
}

func TestTwoLivesUnderOneIDHaveTwoNames(t *testing.T) {
	one, other := incarnation.Incarnation{ID: "i", Born: 7}, incarnation.Incarnation{ID: "i", Born: 6}
	assert.Assert(t, one.Name() != other.Name())
	assert.Equal(t, incarnation.Incarnation{ID: "i"}.Name(), "i", "one that tells no start is known by its id")
}

func TestWhatCanNotBeNamedIsRefused(t *testing.T) {
	for _, test := range []struct {
		life incarnation.Incarnation
		want error
	}{
		{incarnation.Incarnation{}, incarnation.ErrNoID},
		{incarnation.Incarnation{ID: strings.Repeat("i", 129)}, incarnation.ErrIDTooLong},
		{incarnation.Incarnation{ID: "i@7"}, incarnation.ErrIDReserved},
		{incarnation.Incarnation{ID: "i", Born: -1}, incarnation.ErrBornBefore},
	} {
		assert.ErrorIs(t, test.life.Check(), test.want)
	}
	for _, name := range []string{"i@", "i@x", "i@-4", "i@0", "i@4@5"} {
		assert.Equal(t, incarnation.Parse(name), incarnation.Incarnation{ID: name})
	}
}
