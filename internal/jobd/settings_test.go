package jobd

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const goodSettings = `entry = "e"
client = "127.0.0.1:1"
readiness = "127.0.0.1:2"
peer = "127.0.0.1:3"
[log]
address = "127.0.0.1:4"
`

func load(t *testing.T, text string) (*Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadSettings(path)
}

// Guards against settings errors that don't say what is wrong and where.
func TestSettingsFaults(t *testing.T) {
	if _, err := load(t, goodSettings); err != nil {
		t.Fatalf("valid settings: %v", err)
	}
	for _, x := range []struct{ name, text, want string }{
		{"unknown key", "color = 1\n" + goodSettings, "color"},
		{"syntax", goodSettings + "parts = = 1\n", "settings.toml:7"},
		{"address", strings.Replace(goodSettings, "127.0.0.1:4", "here", 1), "log.address"},
		{"control mode", "control_mode = \"heartbeat\"\n" + goodSettings, "control_mode"},
		{"log level", "log_level = \"loud\"\n" + goodSettings, "log_level"},
		{"missing entry", strings.Replace(goodSettings, `entry = "e"`, "", 1), "entry is missing"},
	} {
		if _, err := load(t, x.text); err == nil || !strings.Contains(err.Error(), x.want) {
			t.Errorf("%s: error %v, want one that names %q", x.name, err, x.want)
		}
	}
}
