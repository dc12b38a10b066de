package blame

import "testing"

func TestHistory(t *testing.T) {
	const sole, shared = true, false
	for _, test := range []struct {
		name                           string
		crashes                        []bool
		onTrial, giveUp, lastingGiveUp bool
	}{
		{"no crash", nil, false, false, false},
		{"a crash that another task may have caused", []bool{shared}, true, false, false},
		{"a crash of its own, which may be a loss of power", []bool{sole}, true, false, false},
		{"two crashes of its own", []bool{shared, sole, sole}, true, true, false},
		{"three crashes of its own", []bool{sole, sole, sole}, true, true, true},
		{"beside others every time", []bool{shared, shared, shared, shared}, true, false, false},
		{"beside others five times", []bool{shared, shared, shared, shared, shared}, true, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var h History
			for _, alone := range test.crashes {
				h.Add(alone)
			}
			if got := h.OnTrial(); got != test.onTrial {
				t.Errorf("on trial %v, want %v", got, test.onTrial)
			}
			if got := h.GiveUp(false); got != test.giveUp {
				t.Errorf("given up %v, want %v", got, test.giveUp)
			}
			if got := h.GiveUp(true); got != test.lastingGiveUp {
				t.Errorf("lasting, given up %v, want %v", got, test.lastingGiveUp)
			}
		})
	}
}
