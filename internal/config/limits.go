package config

import (
	"fmt"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Limits are settings that bound what a process takes in from its clients. Those that are 0 have defaults; see
// docs/settings.md.
type Limits struct {
	Bodies   ident.Bytes `toml:"bodies"`    // bytes of request bodies that are held at the same time
	Clients  int         `toml:"clients"`   // connections of clients
	Peers    int         `toml:"peers"`     // connections of other processes
	Others   int         `toml:"others"`    // connections to each other listener
	BodyTime Duration    `toml:"body_time"` // how long a small body may take to arrive
}

// Check returns an error if a limit is negative.
func (l *Limits) Check() error {
	if l.Bodies < 0 || l.Clients < 0 || l.Peers < 0 || l.Others < 0 || l.BodyTime.Duration < 0 {
		return fmt.Errorf("limits: bodies = %d, clients = %d, peers = %d, others = %d, body_time = %v: none may be negative",
			l.Bodies, l.Clients, l.Peers, l.Others, l.BodyTime)
	}
	return nil
}
