// Package catalog turns a declared catalog of routes, services and workspaces into an immutable
// [View] that routers query: the route of a host and path, the workspace of a key, the settings
// of a service. [Validate] rejects a catalog that cannot be used; [Pack] and [Unpack] convert a
// declaration to and from the form in which it is stored and sent.
package catalog

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"sumachead"
	"sumachead/api/wire"
)

// View is a declaration indexed for lookups. It is immutable.
type View struct {
	// Number is the number of the declaration.
	Number  uint64
	Catalog *wire.Catalog
	// FingerprintKey is the fleet's key for request fingerprints.
	FingerprintKey []byte

	// routes maps hosts in lower case to their routes, longest prefix first.
	routes map[string][]*wire.Route
	// keys maps keys to their workspaces.
	keys map[string]*wire.WorkspaceAccess
	// services maps names to services.
	services map[string]*wire.Service
	// urgent holds the routes that may use what is reserved of a budget for urgent requests.
	urgent map[*wire.Route]bool
}

// Validate returns a [trace.BadParameter] error if a catalog cannot be used.
func Validate(c *wire.Catalog) error {
	services := make(map[string]bool)
	for _, s := range c.GetServices() {
		if s.GetName() == "" || services[s.GetName()] {
			return trace.BadParameter("service %q: the name is missing or stands twice", s.GetName())
		}
		services[s.GetName()] = true
	}
	routeNames := make(map[string]string)
	for _, r := range c.GetRoutes() {
		if err := validateRoute(r, services); err != nil {
			return err
		}
		prefix := strings.ToLower(r.GetHost()) + r.GetPathPrefix()
		if other, ok := routeNames[prefix]; ok {
			return trace.BadParameter("routes %q and %q share host and prefix", other, r.GetName())
		}
		routeNames[prefix] = r.GetName()
	}
	return validateWorkspaces(c.GetWorkspaces())
}

// validateRoute validates one route; services holds the names of the declared services.
func validateRoute(r *wire.Route, services map[string]bool) error {
	if r.GetHost() == "" {
		return trace.BadParameter("route %q: the host is missing", r.GetName())
	}
	if p := r.GetPathPrefix(); !strings.HasPrefix(p, "/") || !strings.HasSuffix(p, "/") {
		return trace.BadParameter("route %q: the prefix %q does not begin and end with a slash", r.GetName(), p)
	}
	if r.GetTimeoutMillis() <= 0 {
		return trace.BadParameter("route %q: the time-out is not above 0", r.GetName())
	}
	var sum uint64
	for _, s := range r.GetShares() {
		if !services[s.GetService()] {
			return trace.BadParameter("route %q: there is no service %q", r.GetName(), s.GetService())
		}
		sum += uint64(s.GetWeight())
	}
	if sum == 0 {
		return trace.BadParameter("route %q: the weights add up to 0", r.GetName())
	}
	return nil
}

// validateWorkspaces validates names, budgets and keys; no two workspaces may share a key.
func validateWorkspaces(ws []*wire.WorkspaceAccess) error {
	names := make(map[string]bool)
	owners := make(map[string]string)
	for _, w := range ws {
		if w.GetName() == "" || names[w.GetName()] {
			return trace.BadParameter("workspace %q: the name is missing or stands twice", w.GetName())
		}
		names[w.GetName()] = true
		if w.Prepaid != nil && w.GetPrepaid() < 0 {
			return trace.BadParameter("workspace %q: the budget is below 0", w.GetName())
		}
		for _, k := range w.GetKeys() {
			if other, ok := owners[k]; ok && other != w.GetName() {
				return trace.BadParameter("workspaces %q and %q share a key", other, w.GetName())
			}
			owners[k] = w.GetName()
		}
	}
	return nil
}

// NewView indexes a declaration that passed [Validate].
func NewView(d *wire.Declaration) *View {
	v := &View{
		Number: d.GetNumber(), Catalog: d.GetCatalog(), FingerprintKey: d.GetFingerprintKey(),
		routes: make(map[string][]*wire.Route), keys: make(map[string]*wire.WorkspaceAccess),
		services: make(map[string]*wire.Service),
	}
	for _, r := range v.Catalog.GetRoutes() {
		host := strings.ToLower(r.GetHost())
		v.routes[host] = append(v.routes[host], r)
	}
	for _, rs := range v.routes {
		slices.SortStableFunc(rs, func(a, b *wire.Route) int {
			return cmp.Compare(len(b.GetPathPrefix()), len(a.GetPathPrefix()))
		})
	}
	for _, s := range v.Catalog.GetServices() {
		v.services[s.GetName()] = s
	}
	v.urgent = urgentRoutes(v.Catalog.GetRoutes(), v.services)
	for _, w := range v.Catalog.GetWorkspaces() {
		for _, k := range w.GetKeys() {
			v.keys[k] = w
		}
	}
	return v
}

// Route returns the route of a host and path, or nil if there is none.
func (v *View) Route(host, path string) *wire.Route {
	for _, r := range v.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.GetPathPrefix()) {
			return r
		}
	}
	return nil
}

// Authenticate returns the workspace that a key belongs to, or nil if there is none.
func (v *View) Authenticate(key string) *wire.WorkspaceAccess { return v.keys[key] }

// Service returns the service with a name, or nil if there is none.
func (v *View) Service(name string) *wire.Service { return v.services[name] }

// PickService picks one of a route's services at random, weighted by the route's shares.
func PickService(r *wire.Route) string {
	shares := r.GetShares()
	if len(shares) == 1 {
		return shares[0].GetService()
	}
	var sum int
	for _, s := range shares {
		sum += int(s.GetWeight())
	}
	n := rand.IntN(max(sum, 1))
	for _, s := range shares {
		if n -= int(s.GetWeight()); n < 0 {
			return s.GetService()
		}
	}
	return shares[len(shares)-1].GetService()
}

// Budgets returns the budgets of the workspaces, without those that have no limit.
func Budgets(c *wire.Catalog) map[sumachead.WorkspaceID]sumachead.Tokens {
	totals := make(map[sumachead.WorkspaceID]sumachead.Tokens)
	for _, w := range c.GetWorkspaces() {
		if w.Prepaid != nil {
			totals[sumachead.WorkspaceID(w.GetName())] = sumachead.Tokens(w.GetPrepaid())
		}
	}
	return totals
}
