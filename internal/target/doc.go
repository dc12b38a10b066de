// Package target sends requests to targets over HTTP.
//
// A [Client] manages its connections itself: each is an [http.ClientConn], which
// sends a request once and never repeats it. [*NotSentError] is the only error
// that proves that no byte of a request has left this process; after any other
// error the target may have run the request. A connection is not used again after
// an error, a timeout, an incomplete body or a response with the id of another
// request.
package target
