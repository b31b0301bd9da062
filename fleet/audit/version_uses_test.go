package audit

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/front"
)

func TestCompleteLogVerifiesAndIsSummarized(t *testing.T) {
	logs, findings := ReadLogs(twoFrontsLogs())
	assert.Empty(t, findings)
	require.Len(t, logs, 2)
	summaries := SummarizeVersions(logs, VersionUses(logs))
	require.Len(t, summaries, 2)
	assert.Equal(t, 2, summaries[1].Fronts)
	assert.Equal(t, "m1", summaries[1].RulesHash)
	assert.EqualValues(t, 2*4*3, summaries[0].Outcomes[front.StatusSucceeded]+summaries[0].Outcomes[front.StatusRejected])
}

// The clock of n1 may be wrong by an hour, so its use is uncertain within an hour of its start and end.
func TestUsesAreCertainOnlyBeyondTheClockError(t *testing.T) {
	hour := int64(3_600_000_000)
	uses := []VersionUse{{Front: "n1", Version: 1, Start: 10 * hour, End: 20 * hour, MaxClockError: hour}, {Front: "n2", Version: 2, Start: 10 * hour, End: 20 * hour}}
	for at, want := range map[int64]string{15: "n1 true n2 true ", 10: "n1 false n2 true ", 9: "n1 false ", 21: "n1 false ", 22: ""} {
		got := ""
		found, certain := UsesAt(uses, at*hour)
		for i, u := range found {
			got += fmt.Sprint(u.Front, " ", certain[i], " ")
		}
		assert.Equal(t, want, got, "at %d", at)
	}
}
