package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/clock"
)

// gracefulStopTimeout limits the wait for requests after the drain delay. It is longer than any request including its response.
const gracefulStopTimeout = time.Minute

// serveCallers serves callers until stopCtx is done, then stops gracefully: it reports that this entry is not ready,
// accepts requests for the drain delay and waits for all of them. It returns at once when runCtx is done.
func (d *Daemon) serveCallers(runCtx, stopCtx context.Context) error {
	srv := d.handler.Server()
	defer func() { _ = srv.Close() }()
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(d.callerListener) }()
	select {
	case err := <-failed:
		return fmt.Errorf("caller listener: %w", err)
	case <-runCtx.Done():
		return nil // Run returns the error of the component that failed
	case <-stopCtx.Done():
	}
	d.stopping.Store(true)
	d.handler.Stopping()
	delay := d.Settings.DrainDelay.Duration
	d.Logger.Info("stopping: reporting not ready and accepting requests for the drain delay", "drain_delay", delay.String())
	// New connections arrive until the load balancer has noticed that this entry is not ready.
	if err := clock.Sleep(runCtx, d.Clock, delay); err != nil {
		return nil
	}
	timeoutCtx, cancel := context.WithTimeout(runCtx, gracefulStopTimeout)
	defer cancel()
	if err := srv.Shutdown(timeoutCtx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("graceful stop: %w", err)
	}
	if err := d.handler.Wait(timeoutCtx); err != nil {
		return fmt.Errorf("graceful stop: waiting for requests whose callers have disconnected: %w", err)
	}
	d.Logger.Info("all requests have finished")
	return nil
}
