package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/pgwire"
	"dapplerouter/testsupport/fakeserver"
)

// Guards against a forwarded write that takes effect again after the servers have forgotten its idempotency key: the primary failed with
// the write run and not answered, and the remote instance counted the window anew when the write was forwarded to it again.
func TestForwardedWriteIsNotSentAgainBeyondItsWindow(t *testing.T) {
	const (
		window = 500 * time.Millisecond
		slack  = 150 * time.Millisecond // for a front that is held up

		errorsAtRemote = 2 // after which the remote instance fails the write, which is then forwarded to it again
	)
	s := startSitesWith(t, [2]string{}, func(s *twoSites) { s.settings = []setting{{"Window", window}} })
	failed, writes := make(chan struct{}), 0
	s.remoteGroup.Servers[0].SetFault(func(_ int, sql string) (f fakeserver.Fault) {
		if !strings.HasPrefix(sql, "INSERT") {
			return f
		}
		f.Code = pgwire.CodeInternalError // the write may have run
		if writes++; writes == errorsAtRemote {
			s.remoteGroup.PrimaryIndex.Store(noPrimary)
			close(failed)
		}
		return f
	})
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_, err := dial(t, s.local.address).Query(keyedInsert("w", 1))
		assert.NoError(t, err)
	}()
	<-failed
	time.Sleep(window + 2*slack)
	s.remoteGroup.PrimaryIndex.Store(1)
	reader := dial(t, s.remote.address)
	for i := range 50 { // results of reads tell the remote instance which server is the primary
		_, err := reader.Query(fmt.Sprintf("SELECT 'x' /* id=r%d,c=browse,d=3000,cluster=1 */", i))
		require.NoError(t, err)
		time.Sleep(5 * time.Millisecond)
	}
	<-answered
	var sentAt []time.Time
	for _, server := range s.remoteGroup.Servers {
		for _, statement := range server.Statements() {
			if statement.ID == "w" && statement.Primary {
				sentAt = append(sentAt, statement.At)
			}
		}
	}
	require.NotEmpty(t, sentAt)
	for _, at := range sentAt {
		assert.Less(t, at.Sub(sentAt[0]), window+slack)
	}
}

// noPrimary is the index of the primary of a group that has none.
const noPrimary = -1
