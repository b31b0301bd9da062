package rollout

import "strings"

// notEnrolledReason completes the reason of a rejection after the names of fronts without the form, or with an older program.
const notEnrolledReason = " takes no part in versions (no form roll, or an older program): end it, or give it the form"

// checkPublication checks whether a version without a deadline can be published now: every front takes part in rollouts, and no front may
// still use another version than the one in force. It returns a RejectedError if not.
func (c *Controller) checkPublication(in *stepInput) error {
	var notEnrolledFronts, unconfirmed []string
	for _, name := range in.fronts() {
		t, ok := c.reports.latest[name]
		switch {
		case ok && !t.WantsConfigLease:
			notEnrolledFronts = append(notEnrolledFronts, name)
		case ok && t.ActiveVersion == in.state.Base:
		case !ok || in.now-c.allowed.since <= c.options.Timing.ConfigLeaseExpiredAfter(c.options.ConfigLease) || c.allowed.index == 0:
			unconfirmed = append(unconfirmed, name)
		default:
			if report, _ := DecodeReport(t.Data); report.ServesIsolated && t.Age > c.options.Timing.LeaseDuration {
				unconfirmed = append(unconfirmed, name)
			}
		}
	}
	switch {
	case len(notEnrolledFronts) > 0:
		return rejectf(ErrFrontsNotEnrolled, "%s", strings.Join(notEnrolledFronts, ", ")+notEnrolledReason)
	case len(unconfirmed) > 0:
		return unconfirmedError(strings.Join(unconfirmed, ", "), in.state)
	}
	return nil
}

// checkTimedPublication checks whether a version with a deadline can be published now. It returns a RejectedError if not.
func (c *Controller) checkTimedPublication(in *stepInput) error {
	if err := c.checkFrontSettings(in); err != nil {
		return err
	}
	if unknown := c.unconfirmedFronts(in); len(unknown) > 0 {
		return unconfirmedError(listNames(unknown), in.state)
	}
	return nil
}

// unconfirmedError rejects a publication because the named fronts may still use another version than the one in force.
func unconfirmedError(names string, s State) error {
	return rejectf(ErrVersionsUnconfirmed, "%s may act on another version than %d still: wait, or end it", names, s.Base)
}

// checkFrontSettings checks whether the fronts' settings allow versions with a deadline. If they don't, waiting does not help. It returns
// a RejectedError then.
func (c *Controller) checkFrontSettings(in *stepInput) error {
	var notEnrolledFronts, serving []string
	for _, name := range in.fronts() {
		t, reported := c.reports.latest[name]
		report, decoded := DecodeReport(t.Data)
		switch {
		case reported && !t.WantsConfigLease:
			notEnrolledFronts = append(notEnrolledFronts, name)
		case reported && decoded && report.ServesIsolated:
			serving = append(serving, name)
		}
	}
	if len(notEnrolledFronts) > 0 {
		return rejectf(ErrFrontsNotEnrolled, "%s", listNames(notEnrolledFronts)+notEnrolledReason)
	}
	if len(serving) > 0 {
		return rejectf(ErrFrontsNeverStop, "%s would serve on while it hears nobody, and no time can be promised: give it (when-alone stop), or publish without a time",
			listNames(serving))
	}
	return nil
}

// unconfirmedFronts returns the fronts for which it is not known that they use no other version than the one in force. All others stop at
// the end of their configuration lease, and can't use another version: a rollout ends only once leases on other versions have provably
// expired, and no such lease has been granted since.
func (c *Controller) unconfirmedFronts(in *stepInput) (unknown []string) {
	stored := readFenceableFronts(in.replicated)
	for _, name := range in.fronts() {
		t, reported := c.reports.latest[name]
		onBase := reported && t.ActiveVersion == in.state.Base
		if !c.isFenceable(in.replicated, name, stored) || c.allowed.index == 0 && !onBase {
			unknown = append(unknown, name)
		}
	}
	return unknown
}
