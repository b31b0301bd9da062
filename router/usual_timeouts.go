package router

import "time"

// Which timeouts do a type's clients ask with? Input: each request's timeout. Invariant: a timeout that a ninth of the requests
// or more ask with counts as usual after a few of them, whatever the others ask with.
//
// Clients give each first attempt the time that they are set to, and a retry what is left of it. So a retry has less time than
// some usual timeout, and a timeout that hardly comes again; a client that is set to less time than others has a usual one.

const (
	usualTimeoutCount = 8  // timeouts of a type that are counted
	minUsualCount     = 5  // requests from which a timeout is usual
	maxUsualCount     = 40 // requests that count at most, so that clients may change their timeouts
	alikeTimeoutsPart = 20 // timeouts are alike if they differ by less than this part of them
)

// timeoutCount is how often a timeout was seen, less what other timeouts took away.
type timeoutCount struct {
	timeout time.Duration
	count   int
}

// usualTimeouts are the frequent timeouts of one request type, found by the algorithm of Misra and Gries.
type usualTimeouts [usualTimeoutCount]timeoutCount

// observe counts a request's timeout.
func (u *usualTimeouts) observe(timeout time.Duration) {
	free := none
	for i := range u {
		switch {
		case u[i].count == 0:
			free = i
		case u[i].alike(timeout):
			u[i].count = min(u[i].count+1, maxUsualCount)
			return
		}
	}
	if free != none {
		u[free] = timeoutCount{timeout: timeout, count: 1}
		return
	}
	for i := range u {
		u[i].count--
	}
}

// timeSpent is how much of its time a client has probably spent before it sent a request with this timeout: what it lacks of
// the next longer usual timeout, 0 if it is usual itself.
func (u *usualTimeouts) timeSpent(timeout time.Duration) time.Duration {
	spent := time.Duration(0)
	for i := range u {
		if u[i].count < minUsualCount {
			continue
		}
		if u[i].alike(timeout) {
			return 0
		}
		if lacks := u[i].timeout - timeout; lacks > 0 && (spent == 0 || lacks < spent) {
			spent = lacks
		}
	}
	return spent
}

func (c *timeoutCount) alike(timeout time.Duration) bool {
	return max(c.timeout-timeout, timeout-c.timeout) < timeout/alikeTimeoutsPart
}
