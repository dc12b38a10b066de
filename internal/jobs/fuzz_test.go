package jobs

import "testing"

// Guards against stored segments that make an owner panic during a takeover.
func FuzzSegment(f *testing.F) {
	r := &Record{ID: "0000000000000001", SegmentTasks: 2, Occurrences: 1}
	r.Spec.Steps = append(r.Spec.Steps, smallStep)
	r.Spec.Steps[0].Count = 5
	b, err := (&SegmentRecord{Job: r.ID, First: 2, Done: []byte{1}, Tasks: []TaskRecord{{Index: 3, Attempt: 1, Target: "t"}}}).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(_ *testing.T, data []byte) {
		s, err := DecodeSegment(data)
		if err != nil {
			return
		}
		p := NewPool("pool")
		p.Restore(r.Accepted, r, s)
		p.Tick(r.Accepted)
	})
}

// Guards against stored records that make an owner panic during a takeover.
func FuzzRecord(f *testing.F) {
	r := &Record{ID: "0000000000000001", Done: [][]byte{{1}}, Tasks: []TaskRecord{{Attempt: 1, Target: "t"}}}
	r.Spec.Steps = append(r.Spec.Steps, smallStep)
	b, err := r.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(_ *testing.T, data []byte) {
		r, err := DecodeRecord(data)
		if err != nil {
			return
		}
		p := NewPool("pool")
		p.Restore(r.Accepted, r)
		p.Tick(r.Accepted)
	})
}
