// Package health decides how far a target is to be trusted with new tasks.
//
// It answers targets that fail what others complete, that refuse, or on which
// tasks make no progress, while their registration looks healthy. A suspected
// target is given one task at a time until it completes one again.
package health
