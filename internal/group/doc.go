// Package group keeps this process in the group to which the platform's log
// assigns partitions.
//
// A [Member] joins the group periodically, which renews its membership. It
// starts an [Owner] for each partition that it is newly assigned and stops the
// owners of those that it has lost, before it confirms the new assignment with
// its next join. A member that the log doesn't answer keeps its owners; the log
// assigns its partitions to others once its membership has expired.
package group
