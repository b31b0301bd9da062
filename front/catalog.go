package front

import (
	"dapplerouter/deployment"
	"dapplerouter/routing"
)

// catalog is what the deployment settings name: request types, customers and zones by index, and the limits. It does not change once
// the core is made.
type catalog struct {
	types     []routing.RequestType // by index; a classifier adds some behind those that have a name
	typeNames *Index[string]
	customers *Index[string]
	zones     *Index[string]
	limits    routing.Limits
}

func newCatalog(s *deployment.Settings) catalog {
	return catalog{types: s.RequestTypes, typeNames: NewIndex(s.TypeNames...), customers: NewIndex(s.CustomerNames...),
		zones: NewIndex(s.ZoneNames...), limits: s.Limits}
}
