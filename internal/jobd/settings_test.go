package jobd

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validSettings = `entry = "e"
client = "127.0.0.1:1"
readiness = "127.0.0.1:2"
peer = "127.0.0.1:3"
[log]
address = "127.0.0.1:4"
`

func loadText(t *testing.T, text string) (*Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadSettings(path)
}

// Guards against limits of the log that the deployment states and the daemon doesn't use.
func TestLimitsFromEnvironment(t *testing.T) {
	t.Setenv(MaxRecordEnv, "200000")
	t.Setenv(MaxAppendEnv, "300000")
	s, err := loadText(t, validSettings)
	if err != nil {
		t.Fatal(err)
	}
	if s.Log.MaxRecord != 200_000 || s.Log.MaxAppend != 300_000 {
		t.Errorf("limits %d and %d, want 200000 and 300000", s.Log.MaxRecord, s.Log.MaxAppend)
	}
	t.Setenv(MaxRecordEnv, "many")
	if _, err := loadText(t, validSettings); err == nil || !strings.Contains(err.Error(), MaxRecordEnv) {
		t.Errorf("error %v, want one that names %s", err, MaxRecordEnv)
	}
}

// Guards against errors about settings that don't name the invalid key or line.
func TestInvalidSettings(t *testing.T) {
	if _, err := loadText(t, validSettings); err != nil {
		t.Fatalf("valid settings: %v", err)
	}
	for _, test := range []struct{ name, text, want string }{
		{"unknown key", "color = 1\n" + validSettings, "color"},
		{"syntax", validSettings + "parts = = 1\n", "settings.toml:7"},
		{"address", strings.Replace(validSettings, "127.0.0.1:4", "here", 1), "log.address"},
		{"control mode", "control_mode = \"heartbeat\"\n" + validSettings, "control_mode"},
		{"log level", "log_level = \"loud\"\n" + validSettings, "log_level"},
		{"small records", validSettings + "max_record = 8192\n", "log.max_record"},
		{"appends smaller than records", validSettings + "max_append = 262144\n", "log.max_append"},
		{"missing entry", strings.Replace(validSettings, `entry = "e"`, "", 1), "entry is missing"},
	} {
		if _, err := loadText(t, test.text); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: error %v, want one that names %q", test.name, err, test.want)
		}
	}
}

// Guards against a setting that is read and doesn't reach the pools, or that is on where nobody has set it.
func TestLookAheadReachesPools(t *testing.T) {
	for _, test := range []struct {
		text string
		want bool
	}{
		{validSettings, false},
		{validSettings + "[placement]\nlook_ahead = false\n", false},
		{validSettings + "[placement]\nlook_ahead = true\n", true},
	} {
		s, err := loadText(t, test.text)
		if err != nil {
			t.Fatal(err)
		}
		if got := s.bounds().LookAhead; got != test.want {
			t.Errorf("look-ahead of the pools is %v, want %v with the settings\n%s", got, test.want, test.text)
		}
	}
}
