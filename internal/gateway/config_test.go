package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Keys that are granted for less time than a renewal takes would expire under a healthy back
// end.
func TestKeyHoldMustCoverARenewal(t *testing.T) {
	for name, config := range map[string]Config{
		"negative":               {KeyHold: -time.Second},
		"shorter than a renewal": {KeyHold: grantTimeout},
	} {
		_, err := Start(config)
		assert.ErrorContains(t, err, "KeyHold", name)
	}
	config := Config{}.withDefaults()
	assert.NilError(t, config.validate())
}

// A back end stops waiting for a response that is delayed for too long, and asks elsewhere.
func TestResponseDelayIsBounded(t *testing.T) {
	for name, hold := range map[string]time.Duration{"negative": -time.Millisecond, "as long as the back end waits": time.Second} {
		_, err := Start(Config{ResponseDelay: hold})
		assert.ErrorContains(t, err, "ResponseDelay", name)
	}
}
