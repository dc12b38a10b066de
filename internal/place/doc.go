// Package place chooses the target for a task.
//
// Tasks that end go where they leave the least room over, near their data, so
// that wide tasks find room; lasting tasks are spread, so that one lost target
// takes few of them; tasks that fill go where they disturb the fewest that serve.
package place
