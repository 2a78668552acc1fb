package experiment

import (
	"fmt"
	"io"
	"slices"
)

// Summary is the mean of the measures over the seeds of one deployment,
// scenario and policy; where Worst is in the name, the greatest.
type Summary struct {
	Deployment, Scenario, Policy string
	Seeds                        int

	Imbalance, ImbalanceP99       float64
	ImbalanceSettled, WorstSettle float64
	ChurnPerHour, ChurnKeys       float64
	ChurnBoundKeys                float64
	OwnerChanges                  float64
	UnavailableMillis             float64
	UnavailableP99Millis          float64
	UnavailableKeyMillis          float64
	P50Millis, P99Millis          float64
	// UnansweredShare is the share of requests without an answer.
	UnansweredShare float64
	Violations      int
}

// Summarize groups results by deployment, scenario and policy, in the order in
// which they first appear.
func Summarize(results []*Result) []Summary {
	var summaries []Summary
	for _, result := range results {
		index := slices.IndexFunc(summaries, func(s Summary) bool {
			return s.Deployment == result.Deployment && s.Scenario == result.Scenario && s.Policy == result.Policy
		})
		if index < 0 {
			index = len(summaries)
			summaries = append(summaries, Summary{
				Deployment: result.Deployment, Scenario: result.Scenario, Policy: result.Policy,
			})
		}
		summaries[index].add(result)
	}
	for index := range summaries {
		summaries[index].divide()
	}
	return summaries
}

func (s *Summary) add(result *Result) {
	s.Seeds++
	for _, pair := range s.means(result) {
		*pair.sum += pair.value
	}
	s.ImbalanceSettled = max(s.ImbalanceSettled, result.ImbalanceSettled)
	s.WorstSettle = max(s.WorstSettle, result.SettleMillis)
	for _, count := range result.Violations {
		s.Violations += count
	}
}

// mean is a sum on the way to its mean, and one run's value.
type mean struct {
	sum   *float64
	value float64
}

func (s *Summary) means(result *Result) []mean {
	unanswered := 0.0
	if result.Requests > 0 {
		unanswered = float64(result.Shed+result.NoOwner+result.Expired+result.Failed) / float64(result.Requests)
	}
	return []mean{
		{&s.Imbalance, result.Imbalance},
		{&s.ImbalanceP99, result.ImbalanceP99},
		{&s.ChurnPerHour, result.ChurnPerHour},
		{&s.ChurnKeys, float64(result.ChurnKeys)},
		{&s.ChurnBoundKeys, result.ChurnBoundKeys},
		{&s.OwnerChanges, float64(result.OwnerChanges)},
		{&s.UnavailableMillis, result.UnavailableMillis},
		{&s.UnavailableP99Millis, result.UnavailableP99Millis},
		{&s.UnavailableKeyMillis, result.UnavailableKeyMillis},
		{&s.P50Millis, result.P50Millis},
		{&s.P99Millis, result.P99Millis},
		{&s.UnansweredShare, unanswered},
	}
}

func (s *Summary) divide() {
	for _, pair := range s.means(&Result{}) {
		*pair.sum /= float64(s.Seeds)
	}
}

// writeTable writes the summaries as a table in Markdown.
func writeTable(to io.Writer, results []*Result) error {
	summaries := Summarize(results)
	var err error
	line := func(format string, arguments ...any) {
		if err == nil {
			_, err = fmt.Fprintf(to, format+"\n", arguments...)
		}
	}
	line("| deployment | scenario | policy | imbalance | p99 | worst after 10 s | churn/h | keys moved | least keys | shards moved | unavailable ms | p99 ms | per key ms | request p50 ms | p99 ms | unanswered | violations |")
	line("|---|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|")
	for _, s := range summaries {
		line("| %s | %s | %s | %.3f | %.2f | %.2f | %.2f | %.0f | %.1f | %.1f | %.0f | %.0f | %.1f | %.1f | %.1f | %.3f %% | %d |",
			s.Deployment, s.Scenario, s.Policy, s.Imbalance, s.ImbalanceP99, s.ImbalanceSettled,
			s.ChurnPerHour, s.ChurnKeys, s.ChurnBoundKeys, s.OwnerChanges,
			s.UnavailableMillis, s.UnavailableP99Millis, s.UnavailableKeyMillis, s.P50Millis, s.P99Millis,
			100*s.UnansweredShare, s.Violations)
	}
	return err
}
