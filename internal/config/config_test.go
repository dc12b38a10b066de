package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validSettings = `
entry = "entry-a-1"
zone = "kg-a"
caller = "127.0.0.1:8080"
peer = "127.0.0.1:8081"
admin = "127.0.0.1:8082"
platform = "http://127.0.0.1:8000"
peer_key = "0123456789abcdef"
`

// Guards against a daemon that starts with a misspelled or invalid setting, and against
// errors that are reported one at a time.
func TestLoad(t *testing.T) {
	tests := []struct {
		name, settings string
		want           []string // substrings of the error; none if the settings are valid
	}{
		{"valid", validSettings, nil},
		{"unknown key", validSettings + "zoen = \"kg-b\"\n", []string{"zoen"}},
		{"not TOML", "\nentry = \n", []string{"entry.toml:2: "}},
		{"empty", "", []string{
			"entry is missing", "zone is missing", "caller =", "peer =", "admin =", "platform =", "peer_key has fewer than 16",
		}},
		{"host name as address", strings.Replace(validSettings, "127.0.0.1:8080", "localhost:8080", 1), []string{`"localhost:8080" is not an IP address`}},
		{"unknown log level", validSettings + "log_level = \"loud\"\n", []string{`log_level = "loud"`}},
		{"delay without unit", validSettings + "drain_delay = \"3\"\n", []string{"missing unit"}},
		{"delay too long", validSettings + "drain_delay = \"2h\"\n", []string{"drain_delay"}},
		{"retention too short", validSettings + "log_retention = \"1m\"\n", []string{"log_retention = 1m0s is shorter than 10m"}},
		{"seed without port", validSettings + "seeds = [\"somewhere\"]\n", []string{`"somewhere"`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "entry.toml")
			if err := os.WriteFile(path, []byte(tt.settings), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := Load(path)
			if got, want := err == nil, len(tt.want) == 0; got != want {
				t.Fatalf("Load: valid = %v, want %v (error: %v)", got, want, err)
			}
			for _, want := range tt.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("Load = %q, want it to contain %q", err, want)
				}
			}
		})
	}
}
