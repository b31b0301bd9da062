package processtest

import (
	"encoding/json"
	"fmt"
	"time"

	"dapplerouter/testsupport/fakeserver"
)

// backends are the fake servers and the endpoint service that lists them.
type backends struct {
	endpoints *endpointService
	servers   *fakeserver.Group
	givenUp   *fakeserver.Group // a second group, which published rules may give up; nil without rollouts
}

func (b *backends) startBackends(s *Script) (err error) {
	if b.servers, err = fakeserver.Start(fakeserver.Restaurants(5, 20, 50), s.Servers, 8, time.Millisecond, 0); err != nil {
		return err
	}
	if s.Rollouts.Enabled() {
		if b.givenUp, err = fakeserver.Start(fakeserver.Restaurants(5, 20, 50), 2, 8, time.Millisecond, 0); err != nil {
			return err
		}
		b.givenUp.ID, b.servers.Guests = 1, b.givenUp.Members
	}
	var list struct{ Endpoints json.RawMessage }
	if err := json.Unmarshal(b.servers.Listed(), &list); err != nil {
		return fmt.Errorf("endpoint list of the fake servers: %w", err)
	}
	b.endpoints = startEndpointService(list.Endpoints)
	return nil
}

// stopBackends stops those that were started.
func (b *backends) stopBackends() {
	if b.endpoints != nil {
		b.endpoints.stop()
	}
	if b.givenUp != nil {
		b.givenUp.Close()
	}
	if b.servers != nil {
		b.servers.Close()
	}
}
