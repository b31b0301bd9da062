package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/front"
	"dapplerouter/pgwire"
	"dapplerouter/testsupport/conntest"
)

// The causes of failed connections that operators tell apart in the log.
func TestConnectionErrorCauses(t *testing.T) {
	greeting := pgwire.AppendGreeting(nil)
	for name, x := range map[string]struct {
		act  func(g *harness)
		want func(t *testing.T, stage front.FailureStage, cause error)
	}{
		"input with the greeting": {
			func(g *harness) { g.AcceptStartup().Send(append(greeting, conntest.RowResponse("v")...)...) },
			func(t *testing.T, stage front.FailureStage, cause error) {
				assert.ErrorIs(t, cause, ErrUnexpectedInput)
				assert.Equal(t, front.StageDial, stage)
			},
		},
		"rejected": {
			func(g *harness) {
				g.AcceptStartup().Send(pgwire.AppendErrorResponse(nil, pgwire.ErrorResponse{Severity: "FATAL", Code: "28P01", Message: "wrong password"})...)
			},
			func(t *testing.T, stage front.FailureStage, cause error) {
				var rejected *RejectedError
				require.ErrorAs(t, cause, &rejected)
				assert.Equal(t, "28P01", rejected.Answer.Code)
				assert.Equal(t, front.StageDial, stage)
			},
		},
		"no descriptor": {
			func(g *harness) {},
			func(t *testing.T, stage front.FailureStage, cause error) {
				assert.ErrorIs(t, cause, ErrNoDescriptor)
				assert.Equal(t, front.StageLocal, stage)
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newHarness(t, 40)
			if name == "no descriptor" {
				g.pools.options.DialTimeout = 10 * time.Millisecond
				for g.Limiter.AdmitServer(func() bool { return false }) {
				}
			}
			finished := make(chan *front.AttemptFinished, 1)
			g.pools.options.Post = func(e front.Event) { finished <- e.(*front.AttemptFinished) }
			g.Eventually(func() bool { return g.address() != "" })
			g.pools.Send(0, front.NewHealthCheck(pgwire.AppendQuery(nil, "SHOW load")))
			x.act(g)
			e := <-finished
			require.NotNil(t, e.Err)
			x.want(t, e.Err.Stage, e.Err.Err)
		})
	}
}
