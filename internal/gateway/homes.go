package gateway

import (
	"slices"
	"strings"

	"sumachead/api/wire"
)

// homeHalls returns the data halls that a request may be sent to, sorted: those in regions
// at which both its route and its workspace are at home. It is nil where neither names
// regions, and empty where there is no such hall.
func (g *Gateway) homeHalls(x *exchange) []string {
	route, workspace := x.route.GetHomes(), x.access.GetHomes()
	if len(route)+len(workspace) == 0 {
		return nil
	}
	halls := []string{}
	for hall, region := range g.Regions {
		if atHome(route, string(region)) && atHome(workspace, string(region)) {
			halls = append(halls, string(hall))
		}
	}
	slices.Sort(halls)
	return halls
}

// atHome reports whether a region is among homes; none are all.
func atHome(homes []string, region string) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// scope is what servers a request may be sent to: those of a service in some data halls.
type scope struct {
	service string
	// halls are their names, joined; empty for all.
	halls string
}

// scope returns the request's.
func (d *dispatch) scope() scope {
	return scope{d.x.service.GetName(), strings.Join(d.homes, ",")}
}

// known lists the servers that the request may be sent to, as far as they are known. The
// list must not be changed.
func (d *dispatch) known() []*wire.ServerRecord {
	service := d.x.service.GetName()
	all := d.servers.Servers(service, d.homes)
	if len(all) == 0 && d.sampler.Overdue(service) {
		// The order's deadline has passed, the others have gone, and nobody has told this
		// router how it ended.
		return d.servers.OnTrial(service, d.homes)
	}
	return all
}
