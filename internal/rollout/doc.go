// Package rollout moves a service from the versions that its backend servers run to another one,
// with a canary analysis.
//
// An order names a service, a target version and a deadline. Servers of the target version start
// beside the others. During the trial, few requests go to them, and their responses are compared
// with those of the other versions, the baseline. Then either all requests move to the target
// version, and the rollout is complete once no request is in flight at the other versions, or it is
// rolled back.
//
//   - [Store] is the replicated state: the newest order of each service, its phase, and the allowance,
//     which is the number of requests that may have been sent to the target version.
//   - [Exposure] enforces the allowance: the leading keeper grants requests to routers out of what it
//     has committed before, so that the sum over all routers is bounded whatever messages are lost.
//     Grants expire soon, so that a partitioned router stops sending.
//   - [Results] collects the outcomes of requests by route and server, as counts and histograms.
//     [Controller.NextStep] evaluates them.
//   - [Controller] holds what the leading keeper knows of one order and decides its next step.
//   - [Sampler] is the part that runs in a router: it selects the requests that go to the target
//     version and counts their outcomes and those of the others.
//
// All decisions are pure functions of their inputs, times included; nothing here uses the network.
package rollout
