package fleet

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const smallFile = `name = "kigali"
base_version = 3
spare_pool = "members-office"

[[pool]]
id = "members-office"

[[pool]]
id = "cutting"
routes = ["/cutting/"]
owed_vms = 1
min_serving = 1

[[vm]]
id = "kg-a-01"
zone = "kg-a"
rack = "kg-a-r1"
address = "10.0.0.1:8080"
pool = "cutting"
processors = 16
memory_gib = 64
slots = 8
connections = 64

[[vm]]
id = "kg-b-01"
zone = "kg-b"
rack = "kg-b-r1"
address = "10.0.0.2:8080"
pool = "members-office"
processors = 16
memory_gib = 64
slots = 8
connections = 64

[[return]]
vms = ["kg-b-01"]
deadline = 2027-02-28T16:00:00Z

[[wave]]
id = "w1"
opens = 2027-02-06T19:00:00Z
closes = 2027-02-06T20:00:00Z
zones = ["kg-a"]
length = "20m"
`

// edit returns smallFile with replacements, given as pairs of old and new text.
func edit(pairs ...string) string {
	out := smallFile
	for i := 0; i < len(pairs); i += 2 {
		out = strings.Replace(out, pairs[i], pairs[i+1], 1)
	}
	return out
}

// Guards against an error in a file that is not reported, is reported at the wrong line, or hides later errors.
func TestParseReportsErrorsWithLines(t *testing.T) {
	tests := []struct {
		name, file string
		want       []string
	}{
		{"syntax", edit("base_version = 3", "base_version = "), []string{"2: "}},
		{"duplicate key", edit("id = \"cutting\"", "id = \"cutting\"\nid = \"x\""), []string{"10: "}},
		{"unknown keys", edit("owed_vms", "owed", "slots", "slot"), []string{
			`11: unknown key "pool[1].owed"`, "12: pool \"cutting\": min_serving 1 exceeds", "14: vm[0].slots is missing", `22: unknown key "vm[0].slot"`,
		}},
		{"types", edit("3\n", "\"3\"\n", "[\"/cutting/\"]", "\"/cutting/\"", "\"20m\"", "20"), []string{
			"2: base_version: 3 is not an integer", `8: pool "cutting" has no routes`, "10: pool[1].routes: /cutting/ is not an array", "45: wave[0].length: 20 is not a string",
		}},
		{"two pools", edit(`id = "kg-b-01"`, `id = "kg-a-01"`), []string{`25: vm "kg-a-01" is in two pools`, `37: return: vm "kg-b-01" is not defined`}},
		{"duplicate pool", edit(`id = "cutting"`, `id = "members-office"`), []string{
			`8: pool "members-office" is defined twice`, `8: pool "members-office" is the spare pool`, `19: vm "kg-a-01": pool "cutting" is not defined`,
		}},
		{"unknown spare pool", edit(`spare_pool = "members-office"`, `spare_pool = "x"`), []string{`3: spare_pool "x" is not defined`}},
		{"budget", edit("min_serving = 1", "min_serving = 2"), []string{`12: pool "cutting": min_serving 2 exceeds owed_vms 1`}},
		{"owed", edit("owed_vms = 1", "owed_vms = 3"), []string{`11: pool "cutting": the pools up to this one are owed 3 VMs, but the file has 2`}},
		{"routes", edit("\n[[vm]]", "\n[[pool]]\nid = \"x\"\nroutes = [\"/cutting/aprons\", \"y\"]\n\n[[vm]]"), []string{
			`16: pool "x": route "y" does not begin with /`, `16: pool "x": route "/cutting/aprons" overlaps`,
		}},
		{"address", edit("10.0.0.1:8080", "kg:80", "10.0.0.2:8080", "10.0.0.2:0"), []string{"18: vm \"kg-a-01\": address", "29: vm \"kg-b-01\": address"}},
		{"one address", edit("10.0.0.2", "10.0.0.1"), []string{`29: vm "kg-b-01" has the address 10.0.0.1:8080 of vm "kg-a-01"`}},
		{"ranges", edit("slots = 8", "slots = 0", "connections = 64", "connections = 70000"), []string{"22: vm[0].slots: 0 is not between", "23: vm[0].connections: 70000"}},
		{"few connections", edit("connections = 64", "connections = 4"), []string{`23: vm "kg-a-01": 4 connections cannot carry 8 slots`}},
		{"return", edit(`vms = ["kg-b-01"]`, `vms = ["kg-b-01", "kg-b-01",`+"\n"+`"no"]`, "2027-02-28T16:00:00Z", "2027-02-28"), []string{
			`37: return: vm "kg-b-01" is returned twice`, `38: return: vm "no" is not defined`, "39: return[0].deadline",
		}},
		{"wave", edit(`zones = ["kg-a"]`, `zones = ["kg-x"]`+"\n"+`racks = ["no"]`, "20m", "2h"), []string{
			`44: wave "w1": no VM is in zone "kg-x"`, `45: wave "w1": no VM is in rack "no"`, `46: wave "w1": one VM takes 2h0m0s, but the window lasts 1h0m0s`,
		}},
		{"window", edit("2027-02-06T20", "2027-02-06T18"), []string{`43: wave "w1" closes before it opens`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("f", []byte(tt.file))
			var fileErr *FileError
			if !errors.As(err, &fileErr) {
				t.Fatalf("Parse = %v, want *FileError", err)
			}
			var got []string
			for _, d := range fileErr.Diagnostics {
				got = append(got, fmt.Sprintf("%d: %s", d.Line, d.Message))
			}
			if len(got) != len(tt.want) {
				t.Fatalf("diagnostics:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(tt.want, "\n"))
			}
			for i := range got {
				if !strings.HasPrefix(got[i], tt.want[i]) {
					t.Errorf("diagnostic %d = %q, want prefix %q", i, got[i], tt.want[i])
				}
			}
		})
	}
}

// encode calls Encode, which must always succeed.
func encode(t *testing.T, f *File) []byte {
	t.Helper()
	data, err := Encode(f)
	if err != nil {
		t.Fatalf("Encode: %v", err)
	}
	return data
}

// Guards against an example file that operators cannot use unchanged.
func TestExamplesParse(t *testing.T) {
	for name, zones := range map[string]int{"kigali": 3, "quito": 4} {
		data, err := os.ReadFile("../../examples/" + name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		f, err := Parse(name, data)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := Parse(name, encode(t, f)); err != nil || !reflect.DeepEqual(again, f) {
			t.Errorf("%s: Parse(Encode) = %+v, %v, want an equal file", name, again, err)
		}
		seen := map[ident.ZoneID]bool{}
		racks := map[ident.RackID]int{}
		for _, v := range f.VMs {
			seen[v.Zone] = true
			racks[v.Rack]++
		}
		if len(seen) != zones || len(f.Pools) != 6 || len(f.VMs) < 48 || len(f.VMs) > 56 {
			t.Errorf("%s: %d zones, %d pools, %d VMs", name, len(seen), len(f.Pools), len(f.VMs))
		}
		for r, n := range racks {
			if n > 4 {
				t.Errorf("%s: rack %s holds %d VMs, want at most 4", name, r, n)
			}
		}
	}
}

// Guards against a publish that is accepted although it makes a change that the file in force does not allow.
func TestCheckAgainstBase(t *testing.T) {
	base, err := Parse("f", []byte(smallFile))
	if err != nil {
		t.Fatal(err)
	}
	change := func(c func(*File)) *File {
		f := new(File)
		*f = *base
		f.VMs = append([]VM(nil), f.VMs...)
		c(f)
		return f
	}
	tests := map[string]*File{
		"":                     change(func(f *File) { f.VMs, f.Returns = f.VMs[:1], nil }),
		"no return has named":  change(func(f *File) { f.VMs[0].ID, f.Pools = "kg-a-02", base.Pools }),
		"cannot move":          change(func(f *File) { f.VMs[0].Rack = "kg-a-r2" }),
		"spare_pool cannot":    change(func(f *File) { f.SparePool = "cutting"; f.Pools = []Pool{{ID: "cutting"}, {ID: "members-office"}} }),
		"the file is for flee": change(func(f *File) { f.Name = "quito" }),
	}
	for want, f := range tests {
		got := Check(f, base)
		if want == "" && len(got) > 0 || want != "" && (len(got) != 1 || !strings.Contains(got[0].Message, want)) {
			t.Errorf("Check = %v, want one diagnostic with %q", got, want)
		}
	}
}

// drawFile generates a file that Diff accepts; Check may report errors for it.
func drawFile(t *rapid.T) *File {
	f := &File{
		Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"), Base: ident.Version(rapid.IntRange(0, 2).Draw(t, "base")),
		SparePool: "p0",
	}
	ids := func(what string) []int {
		return rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 8, rapid.ID[int]).Draw(t, what)
	}
	for _, i := range ids("pools") {
		f.Pools = append(f.Pools, Pool{ID: ident.PoolID(fmt.Sprint("p", i)), Owed: rapid.IntRange(0, 2).Draw(t, "owed")})
	}
	for _, i := range ids("vms") {
		f.VMs = append(f.VMs, VM{ID: ident.VMID(fmt.Sprint("v", i)), Slots: ident.Slots(rapid.IntRange(1, 2).Draw(t, "slots"))})
		if rapid.Bool().Draw(t, "returned") {
			f.Returns = append(f.Returns, Return{VMs: []ident.VMID{f.VMs[len(f.VMs)-1].ID}, Deadline: time.Unix(0, 0).UTC()})
		}
	}
	for _, i := range ids("waves") {
		f.Waves = append(f.Waves, Wave{ID: ident.WaveID(fmt.Sprint("w", i))})
	}
	return f
}

// Guards against a publish that puts a file other than the operator's in force.
func TestApplyDiffProducesNewFile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawFile(t), drawFile(t)
		delta := Diff(a, b)
		got, err := ApplyDiff(a, delta)
		if err != nil || !reflect.DeepEqual(got, b) {
			t.Fatalf("ApplyDiff = %+v, %v, want %+v", got, err, b)
		}
		if other, err := ApplyDiff(&File{}, delta); len(a.VMs) > 0 && len(delta.VMs.Drops) > 0 && err == nil {
			t.Fatalf("ApplyDiff on another base = %+v, want ErrBaseMismatch", other)
		}
		if d := Diff(b, got); !d.Empty() {
			t.Fatalf("Diff of equal files = %+v", d)
		}
	})
}

// Guards against input that makes the parser panic or report an error without a line.
func FuzzParse(f *testing.F) {
	f.Add([]byte(smallFile))
	f.Add([]byte("pool = [{id = \"a\", objective = {availability = 2}}]\nvm = 3\n[[wave]]\nlength = \"-1m\""))
	f.Add([]byte("[pool]\n[vm.x]\n\"a.b\" = 1"))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := Parse("f", data)
		var fileErr *FileError
		if (file == nil) != errors.As(err, &fileErr) {
			t.Fatalf("Parse = %v, %v; want exactly one of file and *FileError", file, err)
		}
		if fileErr == nil {
			if again, err := ApplyDiff(&File{}, Diff(&File{}, file)); err != nil || !reflect.DeepEqual(again, file) {
				t.Fatalf("ApplyDiff = %+v, %v, want %+v", again, err, file)
			}
			if again, err := Parse("again", encode(t, file)); err != nil || !reflect.DeepEqual(again, file) {
				t.Fatalf("Parse(Encode) = %+v, %v, want %+v", again, err, file)
			}
			return
		}
		for _, d := range fileErr.Diagnostics {
			if d.Line < 1 || d.Message == "" {
				t.Errorf("diagnostic without line or message: %+v", d)
			}
		}
	})
}
