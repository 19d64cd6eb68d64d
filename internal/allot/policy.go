package allot

// The names of the policies.
const (
	PolicyDemand  = "demand"
	PolicyEqual   = "equal"
	PolicyCentral = "central"
	PolicyLeases  = "leases"
)

// Policy decides on the allotments of a budget.
type Policy interface {
	// Plan returns the grants and recalls to make now.
	Plan(Input) []Adjustment
	// Recalls reports whether allotments may be recalled when a budget is short.
	Recalls() bool
}

// New returns the policy with the given name, PolicyDemand if it is empty, or nil
// if the name is unknown.
func New(name string) Policy {
	switch name {
	case "", PolicyDemand:
		return demandPolicy{}
	case PolicyEqual:
		return equalPolicy{}
	case PolicyCentral:
		return centralPolicy{}
	case PolicyLeases:
		return leasePolicy{}
	}
	return nil
}

// demandPolicy is the default policy.
type demandPolicy struct{}

func (demandPolicy) Plan(in Input) []Adjustment { return Plan(in) }
func (demandPolicy) Recalls() bool              { return true }

// equalPolicy is a baseline that divides a whole budget equally among the halls
// once and never recalls tokens.
type equalPolicy struct{}

func (equalPolicy) Plan(in Input) []Adjustment {
	var steps []Adjustment
	for _, h := range in.Halls {
		if n := in.Available / int64(len(in.Halls)); n > 0 {
			steps = append(steps, Adjustment{h.ID, n})
		}
	}
	return steps
}

func (equalPolicy) Recalls() bool { return false }

// centralPolicy is a baseline without allotments: a hall that is cut off refuses
// all requests.
type centralPolicy struct{}

func (centralPolicy) Plan(Input) []Adjustment { return nil }
func (centralPolicy) Recalls() bool           { return false }

// leasePolicy is a baseline that gives a hall with demand a lease of fixed size,
// renews it once the hall holds less than half of it, and never recalls tokens.
type leasePolicy struct{}

// leasesPerBudget is the number of leases into which an unused budget is divided.
const leasesPerBudget = 20

func (leasePolicy) Plan(in Input) []Adjustment {
	total := in.Available
	for _, h := range in.Halls {
		total += h.Held
	}
	var steps []Adjustment
	left := in.Available
	for _, h := range in.Halls {
		size := max(total/leasesPerBudget, 1)
		if h.Demand > 0 && h.Connected && h.Held < size/2 && left > 0 {
			n := min(size, left)
			steps = append(steps, Adjustment{h.ID, n})
			left -= n
		}
	}
	return steps
}

func (leasePolicy) Recalls() bool { return false }
