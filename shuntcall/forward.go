package shuntcall

import (
	"context"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntroute"
	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

// forwardHedgeFraction is the fraction of the latency goal after which a second
// server is tried for a request that goes to one server.
const forwardHedgeFraction = 0.5

// Forward sends the request to one server of the service.
func (c *Caller) Forward(ctx context.Context, route *shuntroute.Route, service shuntroute.Service, r shuntupstream.Request, fingerprint uint64, suspect bool) Result {
	if isDown, relied := c.downWhileRelayed(service.Name); relied {
		if c.stateOf(route, service.Name, isDown).down {
			return Result{Status: Refused, Reason: "this VM reaches no backend server", Unreachable: true}
		}
	}
	return c.Do(ctx, Call{
		Fingerprint:  fingerprint,
		SingleServer: suspect,
		Route:        route,
		Service:      service,
		Request:      r,
		HedgeAfter:   time.Duration(forwardHedgeFraction * float64(route.LatencyGoal)),
	})
}
