package overload

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// tryStream draws the stated times of a route's tries: callers wait for one of some
// times, and each first try is followed by repeats after random pauses.
type tryStream struct {
	waits   []time.Duration
	repeats int
	random  *rand.Rand
}

// next returns the stated times of one caller's tries, with their ages.
func (s *tryStream) next() (stated, ages []time.Duration) {
	wait := s.waits[s.random.IntN(len(s.waits))]
	age := time.Duration(0)
	for range 1 + s.repeats {
		stated = append(stated, (wait - age).Truncate(time.Millisecond))
		ages = append(ages, wait-stated[len(stated)-1])
		age += time.Duration((0.3 + s.random.Float64()*0.6) * float64(time.Second))
	}
	return stated, ages
}

// play returns the share of first tries that were taken for later ones, and of later
// ones whose age was found, after a while.
func (s *tryStream) play(callers int) (wrong, found float64) {
	var tries FirstTries
	var firsts, wrongs, laters, founds int
	for caller := range callers {
		stated, ages := s.next()
		for i := range stated {
			age := tries.Age(stated[i])
			if caller < callers/10 {
				continue
			}
			switch {
			case i == 0:
				firsts++
				if age != 0 {
					wrongs++
				}
			case age == ages[i]:
				founds++
				laters++
			default:
				laters++
			}
		}
	}
	return float64(wrongs) / float64(firsts), float64(founds) / float64(max(laters, 1))
}

func TestLaterTriesAreKnownByWhatTheirCallersHaveLeft(t *testing.T) {
	stream := &tryStream{waits: []time.Duration{6 * time.Second}, repeats: 2, random: rand.New(rand.NewPCG(1, 1))}
	wrong, found := stream.play(1000)
	assert.Equal(t, wrong, 0.0)
	assert.Assert(t, found > 0.97, "%v", found)
}

// Programs that wait for different times are not taken for late callers.
func TestProgramsWithOtherTimesAreFirstTries(t *testing.T) {
	waits := []time.Duration{1500 * time.Millisecond, 2 * time.Second, 6 * time.Second}
	stream := &tryStream{waits: waits, repeats: 2, random: rand.New(rand.NewPCG(1, 2))}
	wrong, _ := stream.play(2000)
	assert.Assert(t, wrong < 0.01, "%v", wrong)
}

// Where each caller waits for a time of its own, nothing can be told, and nobody is
// put behind.
func TestScatteredTimesAreFirstTries(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 3))
	var tries FirstTries
	for range 5000 {
		stated := time.Duration(1000+random.IntN(5000)) * time.Millisecond
		assert.Equal(t, tries.Age(stated), time.Duration(0))
	}
}

// What callers state may change at any time.
func TestANewTimeBecomesCommon(t *testing.T) {
	var tries FirstTries
	for range 3000 {
		tries.Age(6 * time.Second)
	}
	for range 200 {
		tries.Age(4 * time.Second)
	}
	assert.Equal(t, tries.Age(4*time.Second), time.Duration(0))
}

func BenchmarkAge(b *testing.B) {
	stream := &tryStream{waits: []time.Duration{6 * time.Second}, repeats: 2, random: rand.New(rand.NewPCG(1, 1))}
	var all []time.Duration
	for range 1000 {
		stated, _ := stream.next()
		all = append(all, stated...)
	}
	var tries FirstTries
	b.ReportAllocs()
	for i := range b.N {
		tries.Age(all[i%len(all)])
	}
}
