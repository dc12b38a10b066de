package integ

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

var homeLine = regexp.MustCompile(`home=(\S+) proved=(true|false)`)

// keyHome waits until the home of a key can prove that it knows every claim:
// keyhome KEY ID=ADMIN=CALLER... It sets HOME_ID, HOME_CALLER and HOME_ADMIN
// to the home, and OTHER_ID, OTHER_CALLER, OTHER_ADMIN, THIRD_ID and so on to the other entries.
func keyHome(ts *testscript.TestScript, _ bool, args []string) {
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		home := provedHome(args[0], args[1:])
		if home < 0 {
			continue
		}
		entries := append([]string{args[1+home]}, slices.Delete(slices.Clone(args[1:]), home, home+1)...)
		for i, role := range []string{"HOME", "OTHER", "THIRD"}[:len(entries)] {
			f := strings.Split(entries[i], "=")
			ts.Setenv(role+"_ID", f[0])
			ts.Setenv(role+"_ZONE", strings.Replace(f[0], "entry", "kg", 1)) // as the scripts name them
			ts.Setenv(role+"_ADMIN", f[1])
			ts.Setenv(role+"_CALLER", f[2])
		}
		return
	}
	ts.Fatalf("no home of key %q can prove what it knows", args[0])
}

// provedHome returns the index of the entry that all name as the home and that is sure of it, or -1.
func provedHome(key string, entries []string) int {
	home, proved := "", -1
	for i, e := range entries {
		f := strings.Split(e, "=")
		resp, err := http.Get(fmt.Sprintf("http://%s/keys?key=%s", f[1], key))
		if err != nil {
			return -1
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		m := homeLine.FindStringSubmatch(string(body))
		if m == nil || home != "" && m[1] != home {
			return -1
		}
		home = m[1]
		if m[1] == f[0] && m[2] == "true" {
			proved = i
		}
	}
	return proved
}

// atLeast waits until a page has a line NAME=NUMBER with at least the given number: atleast URL NAME NUMBER
func atLeast(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[2])
	ts.Check(err)
	line := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(args[1]) + `=(\d+)$`)
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get(args[0])
		if err != nil {
			continue
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if m := line.FindSubmatch(body); m != nil {
			if got, _ := strconv.Atoi(string(m[1])); got >= want {
				return
			}
		}
	}
	ts.Fatalf("%s at %s does not reach %d", args[1], args[0], want)
}
