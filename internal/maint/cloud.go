package maint

import (
	"context"
	"errors"

	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Errors of the machine service.
var (
	// ErrNoAnswer means that the order may have been carried out.
	ErrNoAnswer = errors.New("the machine service did not answer")
	// ErrRefused means that the order was not carried out.
	ErrRefused = errors.New("the machine service refused the order")
)

// Cloud is the platform's service for VMs.
type Cloud interface {
	// Machines lists all VMs.
	Machines(ctx context.Context) ([]work.Machine, error)
	// Move gives a VM to another pool; everything on it ends at once.
	Move(ctx context.Context, id work.MachineID, pool ident.PoolID, token work.Fence) error
	// Maintain takes a VM down for its upkeep in a wave; everything on it ends at once.
	Maintain(ctx context.Context, id work.MachineID, wave int64, token work.Fence) error
}
