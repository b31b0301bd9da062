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

// Operators distinguish the causes of failed connections in the log, so each failure must carry its own cause.
func TestConnectionErrorCauses(t *testing.T) {
	greeting := pgwire.AppendStartupResponse(nil)
	for name, x := range map[string]struct {
		act   func(h *harness)
		check func(t *testing.T, stage front.FailureStage, cause error)
	}{
		"input with the greeting": {
			func(h *harness) { h.AcceptStartup().Send(append(greeting, conntest.RowResponse("v")...)...) },
			func(t *testing.T, stage front.FailureStage, cause error) {
				assert.ErrorIs(t, cause, ErrUnexpectedInput)
				assert.Equal(t, front.StageDial, stage)
			},
		},
		"rejected": {
			func(h *harness) {
				response := pgwire.ErrorResponse{Severity: "FATAL", Code: "28P01", Message: "wrong password"}
				h.AcceptStartup().Send(pgwire.AppendErrorResponse(nil, response)...)
			},
			func(t *testing.T, stage front.FailureStage, cause error) {
				var rejected *RejectedError
				require.ErrorAs(t, cause, &rejected)
				assert.Equal(t, "28P01", rejected.Result.Code)
				assert.Equal(t, front.StageDial, stage)
			},
		},
		"no descriptor": {
			func(h *harness) {},
			func(t *testing.T, stage front.FailureStage, cause error) {
				assert.ErrorIs(t, cause, ErrNoDescriptor)
				assert.Equal(t, front.StageLocal, stage)
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 40)
			if name == "no descriptor" {
				h.pools.options.DialTimeout = 10 * time.Millisecond
				for h.Limiter.AdmitServer(func() bool { return false }) {
				}
			}
			finished := make(chan *front.AttemptFinished, 1)
			h.pools.options.Post = func(e front.Event) { finished <- e.(*front.AttemptFinished) }
			h.Eventually(func() bool { return h.address() != "" })
			h.pools.Send(0, front.NewHealthCheck("SHOW load"))
			x.act(h)
			e := <-finished
			require.NotNil(t, e.Err)
			x.check(t, e.Err.Stage, e.Err.Err)
		})
	}
}
