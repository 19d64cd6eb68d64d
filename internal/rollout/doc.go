// Package rollout moves a service from the versions that its backend servers run to another
// one, by evidence.
//
// An order names a service, a target version and a deadline. Servers of the target version
// start beside the others. While the order is on trial, few requests go to them, and their
// answers are compared with those of the others; then either all requests move to the target
// version, and once nothing runs at the others any more the roll-out is complete, or it is
// rolled back.
//
//   - [Book] is what the fleet's log holds: the newest order of each service, its phase, and
//     what may have been sent to the target version.
//   - [Exposure] bounds that: the leading keeper grants requests to routers, out of what it has
//     committed before, so that the sum over all routers is bounded by counting, whatever is
//     lost. Grants end soon, so that a router that is cut off sends nothing more.
//   - [Evidence] gathers what became of requests, by route and server, as sums and histograms.
//     [Watch.Next] judges by it.
//   - [Watch] is what the leading keeper knows of one order, and decides its next step.
//   - [Sampler] is a router's part: which requests go to the target version, and what became of
//     them and of the others.
//
// All decisions are pure: times are told to them, and nothing here uses the network.
package rollout
