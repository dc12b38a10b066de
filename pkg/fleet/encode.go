package fleet

import (
	"fmt"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// tomlFile and the types below mirror File with the keys and value formats of the TOML file.
type tomlFile struct {
	Name      string        `toml:"name"`
	Base      ident.Version `toml:"base_version"`
	SparePool ident.PoolID  `toml:"spare_pool"`
	Pools     []tomlPool    `toml:"pool"`
	VMs       []tomlVM      `toml:"vm"`
	Returns   []tomlReturn  `toml:"return,omitempty"`
	Waves     []tomlWave    `toml:"wave,omitempty"`
}

type tomlPool struct {
	ID         ident.PoolID   `toml:"id"`
	Routes     []string       `toml:"routes,omitempty"`
	Owed       int            `toml:"owed_vms,omitempty"`
	MinServing int            `toml:"min_serving,omitempty"`
	Objective  *tomlObjective `toml:"objective,omitempty"`
}

type tomlObjective struct {
	Availability float64 `toml:"availability,omitempty"`
	Latency      string  `toml:"latency,omitempty"`
}

type tomlVM struct {
	ID           ident.VMID         `toml:"id"`
	Zone         ident.ZoneID       `toml:"zone"`
	Rack         ident.RackID       `toml:"rack"`
	Address      string             `toml:"address"`
	Pool         ident.PoolID       `toml:"pool"`
	Processors   ident.Processors   `toml:"processors"`
	MemoryGiB    int64              `toml:"memory_gib"`
	Accelerators ident.Accelerators `toml:"accelerators,omitempty"`
	Slots        ident.Slots        `toml:"slots"`
	Connections  ident.Connections  `toml:"connections"`
}

type tomlReturn struct {
	VMs      []ident.VMID `toml:"vms"`
	Deadline time.Time    `toml:"deadline"`
}

type tomlWave struct {
	ID     ident.WaveID   `toml:"id"`
	Opens  time.Time      `toml:"opens"`
	Closes time.Time      `toml:"closes"`
	Zones  []ident.ZoneID `toml:"zones,omitempty"`
	Racks  []ident.RackID `toml:"racks,omitempty"`
	Length string         `toml:"length"`
}

// Encode returns f in the TOML format; Parse of the result returns a file equal to f.
func Encode(f *File) ([]byte, error) {
	doc := tomlFile{Name: f.Name, Base: f.Base, SparePool: f.SparePool}
	for i := range f.Pools {
		doc.Pools = append(doc.Pools, toTOMLPool(&f.Pools[i]))
	}
	for i := range f.VMs {
		v := &f.VMs[i]
		doc.VMs = append(doc.VMs, tomlVM{
			ID: v.ID, Zone: v.Zone, Rack: v.Rack, Address: v.Address, Pool: v.Pool, Processors: v.Processors,
			MemoryGiB: int64(v.Memory / ident.GiB), Accelerators: v.Accelerators, Slots: v.Slots, Connections: v.Connections,
		})
	}
	for _, r := range f.Returns {
		doc.Returns = append(doc.Returns, tomlReturn(r))
	}
	for _, w := range f.Waves {
		doc.Waves = append(doc.Waves, tomlWave{
			ID: w.ID, Opens: w.Opens, Closes: w.Closes, Zones: w.Zones, Racks: w.Racks, Length: w.Length.String(),
		})
	}
	data, err := toml.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("encode fleet file: %w", err)
	}
	return data, nil
}

func toTOMLPool(p *Pool) tomlPool {
	doc := tomlPool{ID: p.ID, Routes: p.Routes, Owed: p.Owed, MinServing: p.MinServing}
	if p.Objective == (Objective{}) {
		return doc
	}
	doc.Objective = &tomlObjective{Availability: p.Objective.Availability}
	if p.Objective.Latency > 0 {
		doc.Objective.Latency = p.Objective.Latency.String()
	}
	return doc
}
