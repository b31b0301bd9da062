package capacity

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestHistoryReaderDistinguishesRollbacks(t *testing.T) {
	path := filepath.Join(t.TempDir(), "history")
	write := func(text string) {
		f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		require.NoError(t, err)
		_, err = f.WriteString(text)
		require.NoError(t, err)
		require.NoError(t, f.Close())
	}
	h := newHistoryReader(path)
	finished := func(version uint64) int64 {
		at, err := h.finished(version)
		require.NoError(t, err)
		return at
	}
	write(`{"at":5,"what":"turned","term":1,"name":"rolling"}` + "\n" + `{"at":9,"what":"turned","name":"steady","num`)
	assert.Zero(t, finished(1), "an incomplete line is not read yet")
	write(`ber":1}` + "\n" + `{"at":11,"what":"came","duty":"list"}` + "\n")
	assert.Equal(t, int64(9), finished(1))
	write(`{"at":12,"what":"turned","number":1,"term":2,"name":"rolling"}` + "\n" +
		`{"at":13,"what":"turned","number":1,"term":2,"name":"going back","why":"n7 can't use it"}` + "\n")
	assert.Zero(t, finished(2))
	write(`{"at":14,"what":"turned","number":1,"name":"steady"}` + "\n")
	assert.Equal(t, int64(rolledBack), finished(2), "the rollout finished, but the version is not in force")
	assert.Equal(t, "n7 can't use it", h.rollbackReasons[2])
	assert.Equal(t, int64(9), finished(1), "the first end time is kept")
}
