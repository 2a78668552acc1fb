package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// wordOf is a word of the leader that was told some time before.
func wordOf(t *testing.T, age time.Duration) *fleetwire.PeerWord {
	t.Helper()
	packed, err := fleetwire.Pack(documentOf(7))
	assert.NilError(t, err)
	return &fleetwire.PeerWord{Age: age, For: 2 * time.Second, PackedDocument: packed, EvacuationsIndex: 9, Evacuated: []string{"b"}}
}

// A word that is passed on brings the configuration and the evacuated zones with it, and
// vouches from the moment at which the leader gave it.
func TestAWordOfAnotherGatewayBringsWhatItVouchesFor(t *testing.T) {
	g := choosingGateway(t)
	g.session = newSessionClient(g)
	asked := steady.Reading()
	assert.NilError(t, g.takePeerWord(wordOf(t, time.Second), asked, "peer"))
	assert.Equal(t, uint64(g.views.load().version()), uint64(7))
	assert.Assert(t, g.views.load().evacuated("b"))
	assert.Assert(t, g.session.vouched.holds(asked.Add(800*time.Millisecond)))
	assert.Assert(t, !g.session.vouched.holds(asked.Add(time.Second)))
}

// It is not passed on once more: ages and ways would add up.
func TestAWordOfAnotherGatewayIsNotPassedOn(t *testing.T) {
	g := choosingGateway(t)
	g.session = newSessionClient(g)
	assert.NilError(t, g.takePeerWord(wordOf(t, 0), steady.Reading(), "peer"))
	assert.Assert(t, g.session.vouched.passOn(steady.Reading()) == nil)
	asks := httptest.NewRequest(http.MethodGet, "/", nil)
	asks.Header.Set(fieldAsksWord, "7")
	answer := httptest.NewRecorder()
	g.tellWord(answer, asks)
	assert.Equal(t, answer.Code, http.StatusServiceUnavailable)
}

// The leader's own word is passed on with its age, and for as long as the promise to
// operators allows.
func TestTheLeadersWordIsPassedOnWithItsAge(t *testing.T) {
	g := choosingGateway(t)
	told := steady.Reading()
	g.session = newSessionClient(g)
	g.session.vouched.take(&fleetwire.Lease{ConfigurationFor: 3 * time.Second, PassedOnFor: 2 * time.Second}, told)
	passed := g.session.vouched.passOn(told.Add(time.Second))
	assert.Equal(t, passed.Age, time.Second)
	assert.Equal(t, passed.For, 2*time.Second)
	assert.Assert(t, g.session.vouched.passOn(told.Add(2*time.Second)) == nil, "it would vouch for nothing")
}

// One that can't be read vouches for nothing and changes nothing.
func TestAWordThatCanNotBeReadChangesNothing(t *testing.T) {
	g := choosingGateway(t)
	g.session = newSessionClient(g)
	before := g.views.load()
	garbled := wordOf(t, 0)
	garbled.PackedDocument[len(garbled.PackedDocument)/2] ^= 0xff
	garbled.PackedDocument = garbled.PackedDocument[:len(garbled.PackedDocument)-3]
	assert.Assert(t, g.takePeerWord(garbled, steady.Reading(), "peer") != nil)
	assert.Equal(t, g.views.load(), before)
	assert.Assert(t, !g.session.vouched.holds(steady.Reading()))
}
