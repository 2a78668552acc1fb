package experiment

import (
	"embed"
	"errors"
	"fmt"
	"os"
	"path"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
)

// Scenario is what happens to a deployment in one run.
type Scenario struct {
	// Name of the scenario.
	Name string `yaml:"name"`
	// Title in a few words, for the report.
	Title string `yaml:"title"`
	// Warmup is the time at the start that counts for no measure.
	Warmup time.Duration `yaml:"warmup"`
	// Duration of the run, with Warmup.
	Duration time.Duration `yaml:"duration"`
	// Daily is how load swings over a compressed day.
	Daily Daily `yaml:"daily"`
	// Events in any order.
	Events []Event `yaml:"events"`
}

// Daily is a sine wave on the offered load.
type Daily struct {
	// Amplitude as a share of the mean load, 0 to 1.
	Amplitude float64 `yaml:"amplitude"`
	// Period of a compressed day.
	Period time.Duration `yaml:"period"`
}

// EventKind says what happens.
type EventKind string

// Kinds of event.
const (
	// EventHot gives Keys drawn keys together Share of the requests, for For.
	EventHot EventKind = "hot"
	// EventRate multiplies the load by Factor, for For; only that of bulk
	// operations if Bulk is set.
	EventRate EventKind = "rate"
	// EventJoin adds Count back ends.
	EventJoin EventKind = "join"
	// EventLeave drains a back end for good.
	EventLeave EventKind = "leave"
	// EventRestart stops a back end as planned; it is back after Down.
	EventRestart EventKind = "restart"
	// EventLose stops a back end without notice, for good or for Down.
	EventLose EventKind = "lose"
	// EventLoseZone stops all back ends of a zone without notice.
	EventLoseZone EventKind = "lose-zone"
	// EventFreeze stops a back end's and its agent's processor for Down.
	EventFreeze EventKind = "freeze"
	// EventLie makes a back end claim Factor times its load, for For.
	EventLie EventKind = "lie"
)

// Event is one thing that happens, perhaps repeatedly.
type Event struct {
	Kind EventKind `yaml:"kind"`
	// At is when it happens first.
	At time.Duration `yaml:"at"`
	// Every and Times repeat it.
	Every time.Duration `yaml:"every"`
	Times int           `yaml:"times"`
	// For is how long it lasts.
	For time.Duration `yaml:"for"`
	// Backend counts from 1; with Times the next one is taken at each
	// repetition.
	Backend int `yaml:"backend"`
	// Zone counts from 1.
	Zone int `yaml:"zone"`
	// Count of back ends that join.
	Count int `yaml:"count"`
	// Down is how long a back end is away.
	Down time.Duration `yaml:"down"`
	// Keys and Share describe a hot group.
	Keys  int     `yaml:"keys"`
	Share float64 `yaml:"share"`
	// Marked announces a hot group 5 s ahead. Alternate marks every other
	// repetition.
	Marked    bool    `yaml:"marked"`
	Alternate bool    `yaml:"alternate"`
	Factor    float64 `yaml:"factor"`
	Bulk      bool    `yaml:"bulk"`
}

// builtin holds the scenarios named in issue 6.
//
//go:embed scenarios/*.yaml
var builtin embed.FS

// ScenarioNames lists the built-in scenarios in the order of the report.
var ScenarioNames = []string{
	"steady", "diurnal", "hot-key", "wandering", "join", "leave", "rolling-restart",
	"loss", "zone-loss", "lying-load", "month-end", "gate-change", "together",
}

// LoadScenario reads a scenario: the file at path, or the built-in of that name.
func LoadScenario(name string) (*Scenario, error) {
	var text []byte
	var err error
	if strings.ContainsAny(name, "/.") {
		text, err = os.ReadFile(name)
	} else {
		text, err = builtin.ReadFile(path.Join("scenarios", name+".yaml"))
	}
	if err != nil {
		return nil, fmt.Errorf("scenario %q: %w", name, err)
	}
	return ParseScenario(text)
}

// ParseScenario reads a scenario from YAML. Unknown fields are errors.
func ParseScenario(text []byte) (*Scenario, error) {
	var parsed Scenario
	if err := yaml.UnmarshalWithOptions(text, &parsed, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("parse scenario: %w", err)
	}
	if err := parsed.validate(); err != nil {
		return nil, err
	}
	parsed.Events = repeated(parsed.Events)
	return &parsed, nil
}

func (s *Scenario) validate() error {
	var findings []error
	report := func(wrong bool, format string, arguments ...any) {
		if wrong {
			findings = append(findings, fmt.Errorf(format, arguments...))
		}
	}
	report(s.Name == "", "name: is empty")
	report(s.Warmup >= s.Duration, "duration: not longer than warmup")
	report(s.Daily.Amplitude != 0 && s.Daily.Period <= 0, "daily.period: is missing")
	for index, event := range s.Events {
		place := fmt.Sprintf("events[%d]", index)
		report(event.At > s.Duration, "%s.at: after the end", place)
		report(event.Times > 1 && event.Every <= 0, "%s.every: is missing", place)
		switch event.Kind {
		case EventHot:
			report(event.Keys < 1 || event.Share <= 0 || event.Share >= 1, "%s: keys and share are required", place)
		case EventRate, EventLie:
			report(event.For <= 0 || event.Factor < 0, "%s: for and factor are required", place)
		case EventJoin:
			report(event.Count < 1, "%s.count: is missing", place)
		case EventLeave, EventLose:
			report(event.Backend < 1, "%s.backend: is missing", place)
		case EventRestart, EventFreeze:
			report(event.Backend < 1 || event.Down <= 0, "%s: backend and down are required", place)
		case EventLoseZone:
			report(event.Zone < 1, "%s.zone: is missing", place)
		default:
			report(true, "%s.kind: %q is unknown", place, event.Kind)
		}
	}
	return errors.Join(findings...)
}

// repeated writes repetitions out as events of their own.
func repeated(events []Event) []Event {
	var all []Event
	for _, event := range events {
		all = append(all, event)
		for number := 1; number < event.Times; number++ {
			next := event
			next.At += time.Duration(number) * event.Every
			if event.Backend > 0 {
				next.Backend += number
			}
			if event.Alternate {
				next.Marked = number%2 == 1
			}
			all = append(all, next)
		}
	}
	return all
}
