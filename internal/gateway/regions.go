package gateway

import (
	"slices"
	"strings"

	"sumachead/api/wire"
)

// allowedHalls returns the data halls that a request may be sent to, sorted: those in regions
// allowed by both its route and its workspace. It is nil if neither names regions, and empty if
// there is no such hall.
func (g *Gateway) allowedHalls(x *exchange) []string {
	route, workspace := x.route.GetHomes(), x.access.GetHomes()
	if len(route)+len(workspace) == 0 {
		return nil
	}
	halls := []string{}
	for hall, region := range g.Regions {
		if regionAllowed(route, string(region)) && regionAllowed(workspace, string(region)) {
			halls = append(halls, string(hall))
		}
	}
	slices.Sort(halls)
	return halls
}

// regionAllowed reports whether a region is among the allowed ones; an empty list allows all.
func regionAllowed(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// scope identifies the servers that a request may be sent to: those of a service in some data
// halls.
type scope struct {
	service string
	// halls are their names, joined; empty for all.
	halls string
	// resumed is set if only servers of the version software are included.
	resumed  bool
	software string
}

func (d *dispatch) scope() scope {
	s := scope{service: d.x.service.GetName(), halls: strings.Join(d.halls, ",")}
	if o := d.origin(); o != nil {
		s.resumed, s.software = true, o.Software
	}
	return s
}

// known returns the known servers that the request may be sent to. The list must not be changed.
func (d *dispatch) known() []*wire.ServerRecord { return d.withoutBarred(d.allowedServers()) }

// allowedServers returns the known servers of the service, data halls and version that the request may
// be sent to. The list must not be changed.
func (d *dispatch) allowedServers() []*wire.ServerRecord {
	service := d.x.service.GetName()
	all := d.servers.Servers(service, d.halls)
	if len(all) == 0 && d.sampler.Overdue(service) {
		// The deadline of the rollout order has passed, all other servers are gone, and this router
		// has not heard the result.
		all = d.servers.CanaryServers(service, d.halls)
	}
	if o := d.origin(); o != nil {
		return ofVersion(all, o.Software)
	}
	return all
}
