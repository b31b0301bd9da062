package capacity

import (
	"fmt"

	"dapplerouter/fleet"
	"dapplerouter/fleet/rollout"
)

// roles are the names of the fronts that are leader and leaseholders at a time.
type roles struct {
	leader, endpoints, rollouts string
}

// roleOrder is that of records and the table.
var roleOrder = []string{RoleLeader, RoleVoter, RoleEndpointsLeaseholder, RoleRolloutsLeaseholder, RoleRealFollower, RoleSimulatedFollower,
	RoleDiscovery, RoleDatabases}

// pollRoles asks a real front for the leader and the leaseholders.
func (b *testbed) pollRoles() (r roles, err error) {
	s, err := b.status(endpointsOrdinal)
	if err != nil {
		return r, err
	}
	return roles{leader: s.Leader, endpoints: leaseholder(s, fleet.EndpointListLease), rollouts: leaseholder(s, rollout.Lease)}, nil
}

// of returns a real front's role.
func (r roles) of(i int) string {
	switch name := frontName(i); {
	case i == historyOrdinal:
		return noRole
	case i < voterCount && name == r.leader:
		return RoleLeader
	case i < voterCount:
		return RoleVoter
	case name == r.endpoints:
		return RoleEndpointsLeaseholder
	case name == r.rollouts:
		return RoleRolloutsLeaseholder
	}
	return RoleRealFollower
}

// roleChanges returns the roles whose values are partial since their fronts changed in a phase, with the reasons.
func roleChanges(before, after roles) map[string]string {
	reasons := map[string]string{}
	if before.leader != after.leader {
		reason := fmt.Sprintf("the leader was %s and is %s", before.leader, after.leader)
		reasons[RoleLeader], reasons[RoleVoter] = reason, reason
	}
	if before.endpoints != after.endpoints {
		reasons[RoleEndpointsLeaseholder] = fmt.Sprintf("the lease was %s's and is %s's", before.endpoints, after.endpoints)
	}
	if before.rollouts != after.rollouts {
		reasons[RoleRolloutsLeaseholder] = fmt.Sprintf("the lease was %s's and is %s's", before.rollouts, after.rollouts)
	}
	return reasons
}
