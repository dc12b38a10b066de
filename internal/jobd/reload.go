package jobd

import (
	"bytes"
	"context"
	"os"
	"time"
)

// settingsPeriod is how often the settings file is looked at; it may change without a signal.
const settingsPeriod = 2 * time.Second

// watchSettings reads the settings again on a signal and when the file has changed.
func (d *Daemon) watchSettings(ctx context.Context) {
	if d.SettingsPath == "" {
		return
	}
	last, err := os.ReadFile(d.SettingsPath)
	if err != nil {
		d.Logger.Warn("the settings file can't be read again", "error", err)
	}
	tick := time.NewTicker(settingsPeriod)
	defer tick.Stop()
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-d.Reload:
			signaled = true
		case <-tick.C:
		}
		now, err := os.ReadFile(d.SettingsPath)
		if err == nil && bytes.Equal(now, last) && !signaled {
			continue
		}
		last = now
		d.reload()
	}
}

// reload puts the bounds of the file in force for owners that start from now on. Addresses
// need a new process; a file with faults changes nothing.
func (d *Daemon) reload() {
	s, err := LoadSettings(d.SettingsPath)
	if err != nil {
		d.Logger.Error("reload: the settings have faults; the former ones stay in force", "error", err)
		return
	}
	old := d.bounds.Swap(s)
	moved := s.ClientAddress != old.ClientAddress || s.PeerAddress != old.PeerAddress || s.ReadinessAddress != old.ReadinessAddress || s.Log.Address != old.Log.Address
	d.Logger.Info("reload", "bounds_changed", s.Bounds != old.Bounds, "addresses_changed", moved, "addresses_need_restart", moved)
}
