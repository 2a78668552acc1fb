package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Keys that are granted for less than a renewal takes would lapse under a back end that is
// well.
func TestKeysMustBeGrantedForLongEnoughToBeRenewed(t *testing.T) {
	for name, config := range map[string]Config{
		"negative":                  {KeyHold: -time.Second},
		"less than a renewal takes": {KeyHold: grantTimeout},
	} {
		_, err := Start(config)
		assert.ErrorContains(t, err, "KeyHold", name)
	}
	config := Config{}.withDefaults()
	assert.NilError(t, config.check())
}

// A back end gives up on an answer that is held back for too long, and asks elsewhere.
func TestAnswersAreHeldBackForAShortTimeAlone(t *testing.T) {
	for name, hold := range map[string]time.Duration{"negative": -time.Millisecond, "as long as a back end waits": time.Second} {
		_, err := Start(Config{AnswerHold: hold})
		assert.ErrorContains(t, err, "AnswerHold", name)
	}
}
