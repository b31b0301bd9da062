package capacity

import (
	"fmt"

	"dapplerouter/fleet"
	"dapplerouter/fleet/rollout"
)

// roles holds the names of three fronts at a moment: the leader, and the holders of the leases on the endpoint list and on rollouts.
type roles struct {
	leader, endpoints, rollouts string
}

// roleOrder is the order of roles in the records and in the printed table.
var roleOrder = []string{RoleLeader, RoleVoter, RoleEndpointsLeaseholder, RoleRolloutsLeaseholder, RoleRealFollower, RoleSimulatedFollower,
	RoleDiscovery, RoleDatabases}

// pollRoles asks a real front which fronts are the leader and the holders of the leases on the endpoint list and on rollouts.
func (b *testbed) pollRoles() (r roles, err error) {
	s, err := b.status(endpointsOrdinal)
	if err != nil {
		return r, err
	}
	return roles{leader: s.Leader, endpoints: leaseholder(s, fleet.EndpointListLease), rollouts: leaseholder(s, rollout.Lease)}, nil
}

// roleOf returns the role of the real front with ordinal i, or noRole for the front that writes the history.
func (r roles) roleOf(i int) string {
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

// roleChanges returns the roles that moved to another front during a phase, with a reason for each. Their measurements are partial.
// The reasons are part of records.
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
