package catalog

import "sumachead/api/wire"

// urgentRoutes returns the routes whose requests may use what is reserved of a budget for urgent
// requests. Only requests to engines cost tokens, so only routes that may reach an engine are
// compared: the urgent ones are those with the smallest priority number. There are none if all
// have the same number, because then no request gives way to another.
func urgentRoutes(routes []*wire.Route, services map[string]*wire.Service) map[*wire.Route]bool {
	var costly []*wire.Route
	for _, r := range routes {
		if reachesEngine(r, services) {
			costly = append(costly, r)
		}
	}
	if len(costly) == 0 {
		return nil
	}
	first, last := costly[0].GetPriority(), costly[0].GetPriority()
	for _, r := range costly {
		first, last = min(first, r.GetPriority()), max(last, r.GetPriority())
	}
	if first == last {
		return nil
	}
	urgent := make(map[*wire.Route]bool)
	for _, r := range costly {
		if r.GetPriority() == first {
			urgent[r] = true
		}
	}
	return urgent
}

// reachesEngine reports whether requests of a route may be sent to a service that has an engine.
// A service with weight 0 gets none of them.
func reachesEngine(r *wire.Route, services map[string]*wire.Service) bool {
	for _, s := range r.GetShares() {
		if s.GetWeight() > 0 && services[s.GetService()].GetEngine() != nil {
			return true
		}
	}
	return false
}

// IsUrgent reports whether requests of a route may use what is reserved of a workspace's budget
// for urgent requests. The route is one that [View.Route] returned.
func (v *View) IsUrgent(r *wire.Route) bool { return v.urgent[r] }
