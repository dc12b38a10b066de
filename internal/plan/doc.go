// Package plan decides the planned steps of VMs: drains, moves between pools,
// reboots and returns.
//
// [Plan] is a pure function of the folded state, the time and [Options]. Its
// actions carry the epoch and the planner term of the state, so that the fold
// ignores a plan that was made from an outdated state. Every subset of the
// actions of one plan keeps the budgets: a drain never relies on an assignment
// of the same plan, because that assignment may have no effect.
//
// A pool's budget is min_serving. Beyond it, a planned drain leaves headroom for
// the loss of the rack that holds most of the pool's serving VMs. The headroom,
// unlike the budget, is given up when a wave or a return could not otherwise
// end in time.
package plan
