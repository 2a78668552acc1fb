package machines_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/lab/machines"
)

func TestChangesBecomeVisibleAfterLag(t *testing.T) {
	before := []machines.Machine{{Backend: "one", State: machines.Live}}
	after := []machines.Machine{{Backend: "one", State: machines.Leaving}}
	list := machines.NewList(time.Second, before)
	changed := time.Unix(100, 0)
	list.Set(after, changed)
	assert.DeepEqual(t, list.Visible(changed.Add(time.Second-1)), before)
	assert.DeepEqual(t, list.Visible(changed.Add(time.Second)), after)
}
