package statechart

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const door = `
chart door
state closed initial   # a comment
state open
event pull
event push
action ring
on closed push -> open do ring
on open pull -> closed
`

func TestNextFollowsTheChart(t *testing.T) {
	chart, err := Parse("door.chart", []byte(door))
	assert.NilError(t, err)
	table, err := chart.Bind([]string{"open", "closed"}, []string{"push", "pull"}, []string{"ring"})
	assert.NilError(t, err)
	assert.Equal(t, table.Initial(), State(1))

	next, action, ok := table.Next(1, 0)
	assert.Assert(t, ok)
	assert.Equal(t, next, State(0))
	assert.Equal(t, action, Action(1))

	next, action, ok = table.Next(0, 1)
	assert.Assert(t, ok)
	assert.Equal(t, next, State(1))
	assert.Equal(t, action, NoAction)

	next, _, ok = table.Next(1, 1)
	assert.Assert(t, !ok)
	assert.Equal(t, next, State(1))
}

func TestParseReportsEveryErrorWithItsPosition(t *testing.T) {
	text := `chart broken
state a initial
state b
state lost
event go
event never
action unused
on a go -> b
on a go -> a
on a stop -> b
on a go -> nowhere do dance
jump a
state b
state c initial
`
	_, err := Parse("broken.chart", []byte(text))
	for _, finding := range []string{
		`broken.chart:4: state "lost" is unreachable`,
		`broken.chart:6: event "never" is never used`,
		`broken.chart:7: action "unused" is never used`,
		`broken.chart:9: second transition for state "a" and event "go"; the first is on line 8`,
		`broken.chart:10: unknown event "stop"`,
		`broken.chart:11: unknown state "nowhere"`,
		`broken.chart:11: unknown action "dance"`,
		`broken.chart:12: unknown statement "jump a"`,
		`broken.chart:13: state "b" is declared twice, first on line 3`,
		`broken.chart:14: second initial state "c"; the first is "a"`,
	} {
		assert.ErrorContains(t, err, finding)
	}
}

func TestParseRequiresAnInitialState(t *testing.T) {
	_, err := Parse("x.chart", []byte("chart x\nstate a\n"))
	assert.ErrorContains(t, err, "no initial state")
}

func TestBindRequiresTheSameNamesInChartAndCode(t *testing.T) {
	chart, err := Parse("door.chart", []byte(door))
	assert.NilError(t, err)
	_, err = chart.Bind([]string{"open", "closed", "ajar"}, []string{"push"}, []string{"ring"})
	assert.ErrorContains(t, err, `state "ajar" of the code is not in the chart`)
	assert.ErrorContains(t, err, `door.chart:5: event "pull" is not defined in the code`)
	assert.Equal(t, len(strings.Split(err.Error(), "\n")), 2)
}
