package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/clock"
)

// stopTimeout bounds a graceful stop after the drain delay. It is longer than any request with its response.
const stopTimeout = time.Minute

// serveCallers serves until stop is done and then finishes every request. It gives up when running is done.
func (d *Daemon) serveCallers(running, stop context.Context) error {
	srv := d.handler.Server()
	defer func() { _ = srv.Close() }()
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(d.caller) }()
	select {
	case err := <-failed:
		return fmt.Errorf("caller listener: %w", err)
	case <-running.Done():
		return nil // the other component's error is reported
	case <-stop.Done():
	}
	d.stopping.Store(true)
	d.handler.BeginShutdown()
	delay := d.Settings.DrainDelay.Duration
	d.Logger.Info("stopping; not ready from now on", "drain_delay", delay.String())
	// New connections still arrive until the load balancer has seen that this entry is not ready.
	if err := clock.Sleep(running, d.Clock, delay); err != nil {
		return nil
	}
	limited, cancel := context.WithTimeout(running, stopTimeout)
	defer cancel()
	if err := srv.Shutdown(limited); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("graceful stop: %w", err)
	}
	if err := d.handler.Wait(limited); err != nil {
		return fmt.Errorf("graceful stop: requests of callers that have left: %w", err)
	}
	d.Logger.Info("every request is finished")
	return nil
}
