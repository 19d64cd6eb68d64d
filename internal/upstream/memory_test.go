package upstream

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestLargestReservationIsRevoked(t *testing.T) {
	const limit = 100
	tests := []struct {
		name string
		// held are reservations, of which pinned is pinned and fixed has no function that revokes it; below 0 for none.
		held          []int64
		pinned, fixed int
		ask           int64
		// revoked lists those that are revoked.
		revoked []int
		want    error
	}{
		{"enough", []int64{60}, -1, -1, 40, nil, nil},
		{"the largest", []int64{20, 50, 30}, -1, -1, 10, []int{1}, nil},
		{"several", []int64{40, 35, 25}, -1, -1, 20, []int{0}, nil},
		{"as many as are needed", []int64{36, 35, 25}, -1, -1, 34, []int{0}, nil},
		{"none is larger", []int64{50, 50}, -1, -1, 50, nil, ErrNoMemory},
		{"pinned", []int64{70, 30}, 0, -1, 20, []int{1}, nil},
		{"fixed", []int64{70, 30}, -1, 0, 40, nil, ErrNoMemory},
		{"more than there is", nil, -1, -1, limit + 1, nil, ErrNoMemory},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := &Memory{MaxBytes: limit}
			revoked := make(chan int, len(tt.held))
			var held []*Reservation
			total := int64(0)
			for i, n := range tt.held {
				revoke := func() { revoked <- i }
				if i == tt.fixed {
					revoke = nil
				}
				r := NewReservation(m, revoke)
				if err := r.Resize(n); err != nil {
					t.Fatal(err)
				}
				if i == tt.pinned {
					if err := r.Pin(); err != nil {
						t.Fatal(err)
					}
				}
				held = append(held, r)
				total += n
			}
			r := NewReservation(m, nil)
			var got []int
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				for range tt.revoked {
					i := <-revoked
					got = append(got, i)
					if held[i].Pin() == nil || held[i].Resize(1) == nil {
						t.Errorf("%d can still be used", i)
					}
					held[i].Release()
				}
			}()
			if diff := cmp.Diff(tt.want == nil, r.Resize(tt.ask) == nil); diff != "" {
				t.Errorf("granted (-want +got):\n%s", diff)
			}
			<-stopped
			for _, i := range got {
				total -= tt.held[i]
			}
			if diff := cmp.Diff(tt.revoked, got); diff != "" {
				t.Errorf("revoked (-want +got):\n%s", diff)
			}
			if tt.want == nil {
				total += tt.ask
			}
			if diff := cmp.Diff(total, m.Reserved()); diff != "" {
				t.Errorf("reserved (-want +got):\n%s", diff)
			}
			for _, h := range append(held, r) {
				h.Release()
			}
			if diff := cmp.Diff(int64(0), m.Reserved()); diff != "" {
				t.Errorf("reserved after release (-want +got):\n%s", diff)
			}
		})
	}
}
