package simulate

import (
	"errors"
	"time"

	"github.com/quartzdock/quartzdock/internal/backendapi"
	"github.com/quartzdock/quartzdock/internal/grants"
	"github.com/quartzdock/quartzdock/internal/topology"
)

const grantTimeout = 250 * time.Millisecond

// errNoAnswer: a message of grants was not answered; it may still be taken.
var errNoAnswer = errors.New("no answer")

// syncGrants sends the back end what has changed, one message at a time.
func (a *agent) syncGrants() {
	next := a.grants.Next(grants.Wanted{
		Backend:    a.subscriber.backend,
		Owned:      a.owned,
		Closing:    a.closing,
		LeaseUntil: a.holder.ValidUntil(),
	}, a.clock())
	if next != nil {
		a.sendGrants(next)
	}
}

// closing says how a shard that is being released is given up.
func (a *agent) closing(id topology.ShardID) (grants.Closing, bool) {
	releasing, found := a.releases[id]
	if !found {
		return grants.Closing{}, false
	}
	return grants.Closing{Epoch: releasing.epoch, KeepGrant: releasing.stage == stageDraining}, true
}

func (a *agent) sendGrants(sent *grants.Message) {
	ended := false
	answered := func(reading backendapi.Reading, err error) {
		if !ended {
			ended = true
			a.grantsAnswered(sent, reading, err)
		}
	}
	server, life := a.backend, a.life
	a.cluster.network.send(a.process, server.process, func() {
		err := server.take(sent.Grants)
		reading := server.reading()
		a.cluster.network.answer(server.process, a.process, life, func() { answered(reading, err) })
	}, func() { answered(backendapi.Reading{}, errNoAnswer) })
	a.after(grantTimeout, func() { answered(backendapi.Reading{}, errNoAnswer) })
}

func (a *agent) grantsAnswered(sent *grants.Message, reading backendapi.Reading, err error) {
	outcome := a.grants.Answered(sent, reading, a.clock(), err)
	a.serve(outcome.Granted)
	if a.mustRelease() {
		a.renewNow()
	}
	a.syncGrants()
}
