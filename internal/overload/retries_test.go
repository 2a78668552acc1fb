package overload

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// attemptStream draws the stated times of a route's requests: each caller waits for one of
// some times, and its first attempt is followed by retries after random pauses.
type attemptStream struct {
	waits   []time.Duration
	retries int
	random  *rand.Rand
}

// next returns the stated times of one caller's attempts, with their ages.
func (s *attemptStream) next() (stated, ages []time.Duration) {
	wait := s.waits[s.random.IntN(len(s.waits))]
	age := time.Duration(0)
	for range 1 + s.retries {
		stated = append(stated, (wait - age).Truncate(time.Millisecond))
		ages = append(ages, wait-stated[len(stated)-1])
		age += time.Duration((0.3 + s.random.Float64()*0.6) * float64(time.Second))
	}
	return stated, ages
}

// measure returns the share of first attempts that were mistaken for retries, and the share of
// retries whose age was found, both without the first tenth of the callers.
func (s *attemptStream) measure(callers int) (mistaken, found float64) {
	var attempts RetryDetector
	var firstCount, mistakenCount, retryCount, foundCount int
	for caller := range callers {
		stated, ages := s.next()
		for i := range stated {
			age := attempts.Age(stated[i])
			if caller < callers/10 {
				continue
			}
			switch {
			case i == 0:
				firstCount++
				if age != 0 {
					mistakenCount++
				}
			case age == ages[i]:
				foundCount++
				retryCount++
			default:
				retryCount++
			}
		}
	}
	return float64(mistakenCount) / float64(firstCount), float64(foundCount) / float64(max(retryCount, 1))
}

func TestRetriesAreRecognizedByRemainingTime(t *testing.T) {
	stream := &attemptStream{waits: []time.Duration{6 * time.Second}, retries: 2, random: rand.New(rand.NewPCG(1, 1))}
	mistaken, found := stream.measure(1000)
	assert.Equal(t, mistaken, 0.0)
	assert.Assert(t, found > 0.97, "%v", found)
}

// Programs with different waiting times are not mistaken for retries.
func TestDifferentCommonTimesAreFirstAttempts(t *testing.T) {
	waits := []time.Duration{1500 * time.Millisecond, 2 * time.Second, 6 * time.Second}
	stream := &attemptStream{waits: waits, retries: 2, random: rand.New(rand.NewPCG(1, 2))}
	mistaken, _ := stream.measure(2000)
	assert.Assert(t, mistaken < 0.01, "%v", mistaken)
}

// If each caller waits for a time of its own, retries can't be recognized, and no request
// is treated as one.
func TestScatteredTimesAreFirstAttempts(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 3))
	var attempts RetryDetector
	for range 5000 {
		stated := time.Duration(1000+random.IntN(5000)) * time.Millisecond
		assert.Equal(t, attempts.Age(stated), time.Duration(0))
	}
}

// Programs may change their waiting time at any time.
func TestANewTimeBecomesCommon(t *testing.T) {
	var attempts RetryDetector
	for range 3000 {
		attempts.Age(6 * time.Second)
	}
	for range 200 {
		attempts.Age(4 * time.Second)
	}
	assert.Equal(t, attempts.Age(4*time.Second), time.Duration(0))
}

func BenchmarkAge(b *testing.B) {
	stream := &attemptStream{waits: []time.Duration{6 * time.Second}, retries: 2, random: rand.New(rand.NewPCG(1, 1))}
	var all []time.Duration
	for range 1000 {
		stated, _ := stream.next()
		all = append(all, stated...)
	}
	var attempts RetryDetector
	b.ReportAllocs()
	for i := range b.N {
		attempts.Age(all[i%len(all)])
	}
}
