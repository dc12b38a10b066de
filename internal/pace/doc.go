// Package pace decides at which share of its speed a task that fills may work
// beside tasks that serve.
//
// It answers disturbance that changes within seconds and differs by image: the
// share is halved as soon as a serving task on the target nears its objective,
// and raised step by step while all of them have room.
package pace
