package daemon

import (
	"context"
	"expvar"
	"fmt"
	"net/http"
	"time"
)

const (
	adminHeaderTimeout = 5 * time.Second
	// adminWriteTimeout lets an operator on a slow link read the status of a large fleet.
	adminWriteTimeout = 30 * time.Second
)

func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		switch {
		case d.stopping.Load():
			http.Error(w, "stopping", http.StatusServiceUnavailable)
		case d.follower.NotReadyReason() != "":
			http.Error(w, d.follower.NotReadyReason(), http.StatusServiceUnavailable)
		case !d.broker.Ready():
			http.Error(w, "the other entries of the zone may not all be known yet", http.StatusServiceUnavailable)
		default:
			fmt.Fprintf(w, "version %d\n", d.follower.Snapshot().Version)
		}
	})
	mux.HandleFunc("GET /peers", d.servePeers)
	mux.HandleFunc("GET /keys", d.serveKey)
	mux.HandleFunc("GET /brokers", d.broker.serveBrokers)
	mux.HandleFunc("GET /burn", d.burn.serveBurn)
	mux.HandleFunc("GET "+StatusPath, d.serveStatus)
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}

// serveAdmin serves health, metrics and status until runCtx is done.
func (d *Daemon) serveAdmin(runCtx context.Context) error {
	srv := d.guard.ShortServer(d.adminHandler())
	srv.ReadHeaderTimeout, srv.WriteTimeout = adminHeaderTimeout, adminWriteTimeout
	defer func() { _ = srv.Close() }()
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(d.adminListener) }()
	select {
	case err := <-failed:
		return fmt.Errorf("admin listener: %w", err)
	case <-runCtx.Done():
		return nil
	}
}
