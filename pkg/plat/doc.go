// Package plat is the client of the platform: its log service, its list of
// VMs and its actions on VMs, all HTTP with JSON.
//
// An append whose response is lost may have taken effect; [Client.Append] then
// returns an error that wraps [ErrUnknownOutcome] and the caller has to read on.
package plat
