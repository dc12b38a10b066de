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

// waitHome waits until all entries agree on the home of a key and the home has proved
// that it knows every claim: waithome KEY ID=ADMIN=CALLER... It sets HOME_ID, HOME_ZONE,
// HOME_ADMIN and HOME_CALLER to those of the home, and the variables that begin with
// OTHER_ and THIRD_ to those of the other entries.
func waitHome(ts *testscript.TestScript, _ bool, args []string) {
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		home := provenHome(args[0], args[1:])
		if home < 0 {
			continue
		}
		entries := append([]string{args[1+home]}, slices.Delete(slices.Clone(args[1:]), home, home+1)...)
		for i, role := range []string{"HOME", "OTHER", "THIRD"}[:len(entries)] {
			fields := strings.Split(entries[i], "=")
			ts.Setenv(role+"_ID", fields[0])
			ts.Setenv(role+"_ZONE", strings.Replace(fields[0], "entry", "kg", 1)) // the scripts put entry-a into zone kg-a, and so on
			ts.Setenv(role+"_ADMIN", fields[1])
			ts.Setenv(role+"_CALLER", fields[2])
		}
		return
	}
	ts.Fatalf("no home of key %q has proved in time that it knows every claim", args[0])
}

// provenHome returns the index of the entry that all entries name as the home of key and that has proved that it knows
// every claim. It returns -1 if there is none.
func provenHome(key string, entries []string) int {
	home, proven := "", -1
	for i, e := range entries {
		fields := strings.Split(e, "=")
		resp, err := http.Get(fmt.Sprintf("http://%s/keys?key=%s", fields[1], key))
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
		if m[1] == fields[0] && m[2] == "true" {
			proven = i
		}
	}
	return proven
}

// waitAtLeast waits until the page at a URL has a line NAME=N where N is at least NUMBER: waitatleast URL NAME NUMBER
func waitAtLeast(ts *testscript.TestScript, _ bool, args []string) {
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
	ts.Fatalf("%s at %s has not reached %d in time", args[1], args[0], want)
}
