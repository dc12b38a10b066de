package jobd

import (
	"bytes"
	"context"
	"os"
	"time"
)

// settingsPollPeriod is how often the settings file is read, since it may change without a signal.
const settingsPollPeriod = 2 * time.Second

// watchSettings reloads the settings on a signal and when the content of the file has changed.
func (d *Daemon) watchSettings(ctx context.Context) {
	if d.SettingsPath == "" {
		return
	}
	previous, err := os.ReadFile(d.SettingsPath)
	if err != nil {
		d.Logger.Warn("cannot read the settings file", "error", err)
	}
	tick := time.NewTicker(settingsPollPeriod)
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
		content, err := os.ReadFile(d.SettingsPath)
		if err == nil && bytes.Equal(content, previous) && !signaled {
			continue
		}
		previous = content
		d.reload()
	}
}

// reload reads the settings file. Its bounds and placement apply to owners that start from now on; changed addresses take effect only
// after a restart. An invalid file changes nothing.
func (d *Daemon) reload() {
	s, err := LoadSettings(d.SettingsPath)
	if err != nil {
		d.Logger.Error("cannot reload the settings; the previous ones stay in use", "error", err)
		return
	}
	old := d.activeSettings.Swap(s)
	addressesChanged := s.ClientAddress != old.ClientAddress || s.PeerAddress != old.PeerAddress || s.ReadinessAddress != old.ReadinessAddress || s.Log.Address != old.Log.Address
	d.Logger.Info("settings reloaded", "bounds_changed", s.Bounds != old.Bounds || s.Placement != old.Placement, "addresses_changed", addressesChanged, "addresses_need_restart", addressesChanged)
}
