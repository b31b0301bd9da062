package processtest

import (
	"encoding/json"
	"fmt"
	"time"

	"dapplerouter/testsupport/fakeserver"
)

// backends holds the fake servers and the fake endpoint service that lists them.
type backends struct {
	endpoints     *endpointService
	servers       *fakeserver.Group
	rejectedGroup *fakeserver.Group // a second group, whose requests published rules may reject; nil without rollouts
}

// startBackends starts the server groups that the script needs, and the endpoint service.
func (b *backends) startBackends(s *Script) (err error) {
	if b.servers, err = fakeserver.Start(fakeserver.NewBookingData(5, 20, 50), s.Servers, 8, time.Millisecond, 0); err != nil {
		return err
	}
	if s.Rollouts.Enabled() {
		if b.rejectedGroup, err = fakeserver.Start(fakeserver.NewBookingData(5, 20, 50), 2, 8, time.Millisecond, 0); err != nil {
			return err
		}
		b.rejectedGroup.ID, b.servers.ForeignServers = 1, b.rejectedGroup.Servers
	}
	var list struct{ Endpoints json.RawMessage }
	if err := json.Unmarshal(b.servers.EndpointSnapshot(), &list); err != nil {
		return fmt.Errorf("endpoint list of the fake servers: %w", err)
	}
	b.endpoints = startEndpointService(list.Endpoints)
	return nil
}

// stopBackends stops the backends that were started.
func (b *backends) stopBackends() {
	if b.endpoints != nil {
		b.endpoints.stop()
	}
	if b.rejectedGroup != nil {
		b.rejectedGroup.Close()
	}
	if b.servers != nil {
		b.servers.Close()
	}
}
