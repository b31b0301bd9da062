package router

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestTimeoutOfAnEighthOfTheRequestsIsUsual(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 54))
		var u usualTimeouts
		for i := range 2000 {
			if i%8 == 0 {
				u.observe(450 * ms)
			} else {
				u.observe(time.Duration(1+random.IntN(60_000)) * ms)
			}
		}
		assert.Zero(t, u.timeSpent(450*ms), "seed %d", seed)
	}
}

func TestTimeSpentIsWhatIsLackingOfTheNextLongerUsualTimeout(t *testing.T) {
	var u usualTimeouts
	assert.Zero(t, u.timeSpent(100*ms), "nothing is usual yet")
	for range minUsualCount {
		u.observe(300 * ms)
		u.observe(800 * ms)
	}
	u.observe(time.Second)
	for timeout, want := range map[time.Duration]time.Duration{100 * ms: 200 * ms, 300 * ms: 0, 310 * ms: 0, 400 * ms: 400 * ms,
		800 * ms: 0, 900 * ms: 0, 2 * time.Second: 0} {
		assert.Equal(t, want, u.timeSpent(timeout), "%v", timeout)
	}
}

func TestTimeoutThatClientsNoLongerAskWithIsForgotten(t *testing.T) {
	var u usualTimeouts
	for range 1000 {
		u.observe(800 * ms)
	}
	for i := range 600 {
		u.observe(time.Duration(10+i%20*37) * ms)
	}
	for i := range u {
		assert.False(t, u[i].count >= minUsualCount && u[i].alike(800*ms), "%v", u[i])
	}
}
