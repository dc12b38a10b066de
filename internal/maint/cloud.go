package maint

import (
	"context"
	"errors"

	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Errors of the platform's VM service.
var (
	// ErrNoResponse means that the call may or may not have been carried out.
	ErrNoResponse = errors.New("the VM service did not answer")
	// ErrRefused means that the call was not carried out.
	ErrRefused = errors.New("the VM service refused the call")
)

// Cloud is the platform's VM service, which controls the VMs. The token of a call is the fencing token of its sender.
type Cloud interface {
	// VMs lists all VMs.
	VMs(ctx context.Context) ([]work.VM, error)
	// Move assigns a VM to another pool; all tasks on it end immediately.
	Move(ctx context.Context, id work.VMID, pool ident.PoolID, token work.Fence) error
	// Maintain takes a VM down for its maintenance in a wave; all tasks on it end immediately.
	Maintain(ctx context.Context, id work.VMID, wave int64, token work.Fence) error
}
