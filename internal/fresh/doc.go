// Package fresh answers whether a copy of a fact was the newest one a moment ago.
//
// A final negative answer, such as "there is no such queue", is true only if the
// copy that it is read from has missed nothing. A [Check] reads what is newer
// from the source, one read at a time for all callers.
package fresh
