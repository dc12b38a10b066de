// Package plat is a client for the platform's HTTP API: the log service, the
// list of VMs, and actions on VMs. Responses are encoded as JSON.
//
// If the response to a request is lost, the request may still have taken
// effect. The methods of [Client] then return an error that wraps
// [ErrUnknownOutcome]. After such an error of [Client.Append], the caller must
// read the stream to find out whether the record was appended.
package plat
