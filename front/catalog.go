package front

import (
	"dapplerouter/deployment"
	"dapplerouter/routing"
)

// catalog holds what the deployment settings define: request types, customers and zones by index, and the limits. It does not change
// after NewCore.
type catalog struct {
	types     []routing.RequestType // by index; a classifier appends types without a name, for undeclared writes
	typeNames *Index[string]
	customers *Index[string]
	zones     *Index[string]
	limits    routing.Limits
}

func newCatalog(s *deployment.Settings) catalog {
	return catalog{types: s.RequestTypes, typeNames: NewIndex(s.TypeNames...), customers: NewIndex(s.CustomerNames...),
		zones: NewIndex(s.ZoneNames...), limits: s.Limits}
}
