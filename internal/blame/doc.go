// Package blame decides which task has crashed a target.
//
// A task may crash every target that starts it, together with whatever else
// runs there. Only tasks that had started shortly before the crash can be the
// cause. A task is on trial from the first crash with which it may have to do:
// it starts on a target without other new tasks, so that a further crash tells.
// It is given up after two crashes for which nothing else could be the cause. A
// target that was lost before the start reached it is no evidence; where that is
// possible, a third crash decides. Crashes around a takeover count only towards
// the limit for tasks whose part can't be told apart.
package blame
