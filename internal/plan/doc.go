// Package plan computes the planned steps of VMs: drains, moves between pools,
// reboots and returns.
//
// [Plan] is a pure function of the fleet state (see package fold), the time and
// [Options]. Its actions carry the epoch of their VM and the planner term, so
// that package fold does not apply a plan that was made from an outdated state.
//
// A pool's budget is min_serving, the number of its VMs that must be serving at
// all times. A planned drain also leaves headroom for the loss of the rack that
// holds most of the pool's serving VMs. The headroom, unlike the budget, is
// given up when a wave or a return could not otherwise end in time.
//
// Every subset of the actions of one plan keeps the budgets: a drain never
// relies on an assignment of the same plan, because that assignment may have no
// effect.
package plan
