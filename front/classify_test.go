package front

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/config"
	"dapplerouter/deployment"
	"dapplerouter/routing"
	"dapplerouter/sqlclass"
)

func TestValidateClassification(t *testing.T) {
	settings := &deployment.Settings{TypeNames: []string{"browse", "order"},
		RequestTypes: []routing.RequestType{{Consistency: routing.Eventual}, {Consistency: routing.Write}}}
	valid := &sqlclass.Settings{Rules: []sqlclass.Rule{{RequestType: "order", Class: sqlclass.Write}, {RequestType: "browse"}}, RulePositions: make([]config.Position, 2)}
	require.NoError(t, ValidateClassification(valid, settings))

	invalid := &sqlclass.Settings{Rules: []sqlclass.Rule{{RequestType: "browse", Class: sqlclass.Write}, {RequestType: "order"}, {RequestType: "other"}},
		RulePositions: []config.Position{{Line: 1}, {Line: 2}, {Line: 3}}}
	var errs config.ErrorList
	require.ErrorAs(t, ValidateClassification(invalid, settings), &errs)
	require.Len(t, errs, 2)
	assert.Equal(t, config.Position{Line: 1}, errs[0].Position, "a rule for writes names a type that reads")
	assert.Equal(t, config.Position{Line: 3}, errs[1].Position, "an unknown type")
}
