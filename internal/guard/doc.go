// Package guard applies the limits of package intake to HTTP servers: [Guard.Listen] bounds the connections of a listener,
// [Body] reads the body of a request within the byte budget and a time limit, and [Guard.Server] returns a server with a time
// limit for each part of a request. [Waited] and [ClientGone] tell whether a request is still of use. The metrics connections,
// body_bytes and shed, and two log lines, tell what the guard does.
package guard
