package gateway

import (
	"slices"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/origin"
	"sumachead/internal/timeutil"
	"sumachead/internal/waitpolicy"
)

// What servers of two software versions write does not fit together, and they do not check it. So a
// stream that broke off is continued only by servers of the version that began it, within one
// response as well as over several requests of its caller. A stream whose origin is not known is
// refused: any server could be the wrong one.

const (
	// originRetention is how long after its caller's deadline the origin of a stream is kept.
	originRetention = 10 * time.Second
	// maxServersAge is the time since the leading keeper last responded after which a router may have
	// missed servers of another version.
	maxServersAge = 3 * time.Second
	// unreachedOriginDelay is the delay before a caller may retry because some processes that may
	// know the origin of its stream did not reply: a connection is replaced by then.
	unreachedOriginDelay = 500 * time.Millisecond
)

// originHolders returns the processes beside engines, which hold the origins of streams.
func (g *Gateway) originHolders() (out []origin.Holder) {
	v := g.client.View()
	if v == nil || g.trackers.Address == nil {
		return nil
	}
	for _, r := range g.servers.Records() {
		if v.Service(r.GetService()).GetEngine() == nil {
			continue
		}
		if a := g.trackers.Address(r); a != "" {
			out = append(out, origin.Holder{Address: a, Hall: sumachead.HallID(r.GetHall())})
		}
	}
	return out
}

// origin returns the origin of the request's stream; nil if it may begin at any version.
func (d *dispatch) origin() *origin.Origin {
	if d.stream == nil {
		return nil
	}
	return d.stream.origin
}

// findOrigin finds out which service and which version may continue the stream that the request
// resumes. The error is the final one of the request.
func (d *dispatch) findOrigin() error {
	x := d.x
	if x.request.LastEvent == "" || !x.route.GetResumable() {
		return nil
	}
	var o origin.Origin
	var result origin.Result
	if x.request.Resumes != "" {
		o, result = d.origins.Find(d.ctx, origin.KeyOf(x.workspace(), x.request.Resumes))
	} else {
		o, result = d.inferOrigin(time.Now())
	}
	now := time.Now()
	switch {
	case result == origin.Unreachable:
		return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonOriginUnknown, "what knows which version began the stream was not reached",
			waitpolicy.JitteredRetryAt(now.Add(unreachedOriginDelay), x.deadlines(), x.urgency(), now))
	case result == origin.Unknown:
		return refusePermanently(sumachead.ReasonOriginUnknown, "it is not known which version began the stream")
	case !leadsTo(x.route, o.Service):
		return refusePermanently(sumachead.ReasonVersionGone, "the route no longer leads to the service that began the stream")
	}
	x.service, d.stream.origin = x.view.Service(o.Service), &o
	return nil
}

// inferOrigin returns the only origin that the stream of a caller can have that does not name the
// request that began it: its route leads to one service, whose servers all have one version, as far
// as the leading keeper knows at present.
func (d *dispatch) inferOrigin(now time.Time) (origin.Origin, origin.Result) {
	if len(d.x.route.GetShares()) != 1 {
		return origin.Origin{}, origin.Unknown
	}
	if now.Sub(d.client.LastResponseAt()) > maxServersAge {
		return origin.Origin{}, origin.Unreachable
	}
	service := d.x.route.GetShares()[0].GetService()
	software, ok := d.servers.OnlyVersion(service)
	if !ok {
		return origin.Origin{}, origin.Unknown
	}
	return origin.Origin{Service: service, Software: software}, origin.Found
}

// leadsTo reports whether requests on a route may be sent to a service.
func leadsTo(r *wire.Route, service string) bool {
	return slices.ContainsFunc(r.GetShares(), func(s *wire.ServiceShare) bool { return s.GetService() == service && s.GetWeight() > 0 })
}

// recordOrigin records that the stream began at the software version of a server, unless it has begun
// before, and makes that known to the routers that its caller may come back to.
func (d *dispatch) recordOrigin(r *wire.ServerRecord) {
	if !d.x.route.GetResumable() {
		return
	}
	if d.stream.origin == nil {
		d.stream.origin = &origin.Origin{Service: r.GetService(), Software: r.GetSoftware()}
	}
	d.publishOrigin()
}

// publishOrigin records the origin of the stream under the ID of the request and, if the request names
// another one that it resumes, under that ID.
func (d *dispatch) publishOrigin() {
	x := d.x
	until := timeutil.Later(x.request.Deadline, x.deadline).Add(originRetention)
	d.origins.Record(origin.KeyOf(x.workspace(), x.request.ID), *d.stream.origin, until)
	if x.request.LastEvent != "" && x.request.Resumes != "" {
		d.origins.Record(origin.KeyOf(x.workspace(), x.request.Resumes), *d.stream.origin, until)
	}
}

// republishOrigin records the origin of a stream that has broken off once more, since the processes
// that know it may have been replaced meanwhile.
func (d *dispatch) republishOrigin() {
	if !d.stream.unstarted() && d.stream.origin != nil {
		d.publishOrigin()
	}
}

// ofVersion returns the servers that run a version of the software.
func ofVersion(servers []*wire.ServerRecord, software string) (out []*wire.ServerRecord) {
	for _, r := range servers {
		if r.GetSoftware() == software {
			out = append(out, r)
		}
	}
	return out
}

// checkVersionServed returns the final error of a request that resumes a stream if none of the known
// servers that it may be sent to is left, although servers of other versions are.
func (d *dispatch) checkVersionServed(known []*wire.ServerRecord) error {
	o := d.origin()
	if o == nil || len(known) > 0 || d.lastFailure != nil || len(d.servers.Servers(o.Service, d.halls)) == 0 {
		return nil
	}
	if len(ofVersion(d.servers.CanaryServers(o.Service, d.halls), o.Software)) == 0 {
		return refusePermanently(sumachead.ReasonVersionGone, "no server of the version that began the stream is left")
	}
	now := time.Now()
	return sumachead.Refuse(sumachead.NotRun, sumachead.ReasonVersionGone, "the version that began the stream gets no more requests at present",
		waitpolicy.JitteredRetryAt(now.Add(d.Heartbeat), d.x.deadlines(), d.x.urgency(), now))
}
