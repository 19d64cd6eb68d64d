package allot

// Names of the policies.
const (
	PolicyDemand  = "demand"
	PolicyEqual   = "equal"
	PolicyCentral = "central"
	PolicyLeases  = "leases"
)

// Policy sizes allotments.
type Policy interface {
	// Plan returns what to grant and recall now.
	Plan(Input) []Step
	// Recalls reports whether a budget that is short may call allotments back.
	Recalls() bool
}

// New returns a policy by name; the empty name means [Demand]'s. It returns nil
// for an unknown one.
func New(name string) Policy {
	switch name {
	case "", PolicyDemand:
		return byDemand{}
	case PolicyEqual:
		return equalSplit{}
	case PolicyCentral:
		return centralOnly{}
	case PolicyLeases:
		return leases{}
	}
	return nil
}

// byDemand is the policy in use.
type byDemand struct{}

func (byDemand) Plan(in Input) []Step { return Plan(in) }
func (byDemand) Recalls() bool        { return true }

// equalSplit is a baseline: all that a budget has is split among the halls,
// once, and stays where it is.
type equalSplit struct{}

func (equalSplit) Plan(in Input) []Step {
	var steps []Step
	for _, h := range in.Halls {
		if n := in.Available / int64(len(in.Halls)); n > 0 {
			steps = append(steps, Step{h.ID, n})
		}
	}
	return steps
}

func (equalSplit) Recalls() bool { return false }

// centralOnly is a baseline: halls hold nothing, so that one that is cut off
// refuses.
type centralOnly struct{}

func (centralOnly) Plan(Input) []Step { return nil }
func (centralOnly) Recalls() bool     { return false }

// leases is a baseline: a hall that asks first gets a lease of a fixed size,
// again whenever it has used most of it, and nothing is called back.
type leases struct{}

// leaseParts is how many leases an untouched budget is cut into.
const leaseParts = 20

func (leases) Plan(in Input) []Step {
	total := in.Available
	for _, h := range in.Halls {
		total += h.Held
	}
	var steps []Step
	left := in.Available
	for _, h := range in.Halls {
		size := max(total/leaseParts, 1)
		if h.Demand > 0 && h.Live && h.Held < size/2 && left > 0 {
			n := min(size, left)
			steps = append(steps, Step{h.ID, n})
			left -= n
		}
	}
	return steps
}

func (leases) Recalls() bool { return false }
