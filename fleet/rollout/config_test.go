package rollout

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dapplerouter/config"
	"dapplerouter/fleet"
)

// readForm reads the form roll of a text, and checks it against a lease duration of 3 s.
func readForm(t *testing.T, text string) (*Config, error) {
	t.Helper()
	f, err := config.Parse("operator.sexp", []byte(text))
	require.NoError(t, err)
	decoder := f.NewDecoder()
	c := ReadConfig(decoder.Forms(FormName)[FormName])
	require.NoError(t, decoder.Err())
	_, err = c.ConfigLeaseFor(3 * time.Second)
	return c, err
}

func TestDeadlineThatCannotBeKeptIsRejectedWithItsRemedy(t *testing.T) {
	c, err := readForm(t, `(roll (right 12s) (when-alone stop) (in-force-within 20s) (dir "x"))`)
	require.NoError(t, err)
	assert.Equal(t, 20*time.Second, c.InForceWithin)
	_, err = readForm(t, `(roll (right 15s) (when-alone stop) (in-force-within 20s) (dir "x"))`)
	require.ErrorContains(t, err, "does not fit a right of 15s")
	require.ErrorContains(t, err, "(right 12.4s) or less, or a time of 22.875s or more")
	var list config.ErrorList
	require.ErrorAs(t, err, &list)
	assert.Equal(t, 1, list[0].Line)
	_, err = readForm(t, `(roll (in-force-within 20s) (dir "x"))`)
	require.ErrorContains(t, err, "(when-alone stop)")
	_, err = readForm(t, `(roll (dir "x"))`)
	require.NoError(t, err, "no deadline is required")
}

// The deadline that a remedy suggests is accepted, and an accepted deadline leaves time for each of its parts.
func TestSuggestedDeadlineIsAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timing := fleet.Timing{LeaseDuration: time.Duration(rapid.IntRange(1, 10).Draw(t, "lease duration")) * time.Second}
		lease := timing.LeaseDuration * time.Duration(rapid.IntRange(2, 16).Draw(t, "leases"))
		within := time.Duration(rapid.IntRange(1, 300).Draw(t, "within")) * time.Second
		err := CheckInForceWithin(timing, lease, within)
		if least := timing.ConfigLeaseExpiredAfter(lease) + 2*timing.LeaseDuration; (err == nil) != (within >= least) {
			t.Fatalf("%v with leases of %v: %v", within, lease, err)
		}
		if err != nil && !errors.Is(err, ErrDeadlineTooShort) {
			t.Fatal(err)
		}
		if err == nil && timeForStages(timing, lease, within)+timing.ConfigLeaseExpiredAfter(lease) >= within {
			t.Fatal("nothing is left for the fleet's answers")
		}
	})
}
