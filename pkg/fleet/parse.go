package fleet

import (
	"errors"

	"github.com/pelletier/go-toml/v2"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Limits of the values in a file.
const (
	maxSlots       ident.Slots       = 1024
	maxConnections ident.Connections = 65535
	maxPerVM                         = 1 << 20 // processors, accelerators or GiB of one VM
	maxVMs                           = 1 << 20
)

// Parse reads a file; its error is a *FileError that lists every error with
// its line. If the file is not valid TOML, only the first syntax error is listed,
// since the rest of the file cannot be read.
func Parse(name string, data []byte) (*File, error) { return ParseAgainst(name, data, nil) }

// ParseAgainst is like Parse and also checks the file against the one that it replaces.
func ParseAgainst(name string, data []byte, base *File) (*File, error) {
	var doc map[string]any
	if err := toml.Unmarshal(data, &doc); err != nil {
		return nil, &FileError{File: name, Diagnostics: []Diagnostic{syntaxDiagnostic(err)}}
	}
	d := &decoder{}
	f := d.file(table{dec: d, values: doc})
	d.diags = append(d.diags, Check(f, base)...)
	if len(d.diags) > 0 {
		return nil, &FileError{File: name, Diagnostics: d.diags.locate(indexLines(data))}
	}
	return f, nil
}

// syntaxDiagnostic returns the diagnostic of an error of the TOML decoder.
func syntaxDiagnostic(err error) Diagnostic {
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		line, _ := syntax.Position()
		return Diagnostic{Line: line, Message: syntax.Error()}
	}
	return Diagnostic{Line: 1, Message: err.Error()}
}

func (d *decoder) file(t table) *File {
	f := &File{
		Name:      t.text("name", required),
		Base:      ident.Version(t.number("base_version", 0, maxInt, required)),
		SparePool: ident.PoolID(t.text("spare_pool", required)),
	}
	for _, p := range t.tables("pool") {
		f.Pools = append(f.Pools, d.pool(p, f.SparePool))
	}
	for _, v := range t.tables("vm") {
		f.VMs = append(f.VMs, d.vm(v))
	}
	for _, r := range t.tables("return") {
		f.Returns = append(f.Returns, Return{VMs: list[ident.VMID](r, "vms"), Deadline: r.time("deadline")})
		r.rejectUnknownKeys()
	}
	for _, w := range t.tables("wave") {
		f.Waves = append(f.Waves, Wave{
			ID: ident.WaveID(w.text("id", required)), Opens: w.time("opens"), Closes: w.time("closes"),
			Zones: list[ident.ZoneID](w, "zones"), Racks: list[ident.RackID](w, "racks"), Length: w.duration("length", required),
		})
		w.rejectUnknownKeys()
	}
	t.rejectUnknownKeys()
	return f
}

func (d *decoder) pool(t table, spare ident.PoolID) Pool {
	p := Pool{
		ID:         ident.PoolID(t.text("id", required)),
		Routes:     list[string](t, "routes"),
		Owed:       int(t.number("owed_vms", 0, maxVMs, optional)),
		MinServing: int(t.number("min_serving", 0, maxVMs, optional)),
	}
	if o, ok := t.table("objective"); ok {
		p.Objective = Objective{Availability: o.fraction("availability"), Latency: o.duration("latency", optional)}
		o.rejectUnknownKeys()
	}
	if p.ID != spare && p.Owed > 0 && len(p.Routes) == 0 {
		d.diags.add(t.path, "pool %q has no routes, so no caller can reach it", p.ID)
	}
	t.rejectUnknownKeys()
	return p
}

func (d *decoder) vm(t table) VM {
	v := VM{
		ID:           ident.VMID(t.text("id", required)),
		Zone:         ident.ZoneID(t.text("zone", required)),
		Rack:         ident.RackID(t.text("rack", required)),
		Address:      t.text("address", required),
		Pool:         ident.PoolID(t.text("pool", required)),
		Processors:   ident.Processors(t.number("processors", 1, maxPerVM, required)),
		Memory:       ident.Bytes(t.number("memory_gib", 1, maxPerVM, required)) * ident.GiB,
		Accelerators: ident.Accelerators(t.number("accelerators", 0, maxPerVM, optional)),
		Slots:        ident.Slots(t.number("slots", 1, int64(maxSlots), required)),
		Connections:  ident.Connections(t.number("connections", 1, int64(maxConnections), required)),
	}
	t.rejectUnknownKeys()
	return v
}
