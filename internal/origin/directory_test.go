package origin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sumachead"
	"sumachead/internal/rpc"
)

// startHolders starts a holder of origins in each of some data halls and returns a function that
// stops one.
func startHolders(t *testing.T, halls ...sumachead.HallID) (holders []Holder, stop func(i int)) {
	t.Helper()
	var servers []*rpc.Server
	for _, hall := range halls {
		address := freeAddress(t)
		s := &rpc.Server{Address: address}
		if err := s.Register(Name, &Service{}); err != nil {
			t.Fatal(err)
		}
		if err := s.Listen(); err != nil {
			t.Fatal(err)
		}
		go func() { _ = s.Run() }()
		t.Cleanup(s.Close)
		servers = append(servers, s)
		holders = append(holders, Holder{address, hall})
	}
	return holders, func(i int) { servers[i].Close() }
}

// freeAddress returns an address on which nobody listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}

func newDirectory(hall sumachead.HallID, holders []Holder) *Directory {
	return &Directory{Hall: hall, Holders: func() []Holder { return holders }, Pool: &rpc.Pool{}}
}

// Guards against a stream that another router cannot resume because the router that began it is gone,
// and against a version that is assumed where it is not known.
func TestOriginIsFoundByOtherRouters(t *testing.T) {
	tests := []struct {
		name  string
		halls []sumachead.HallID
		// lost are the holders that stop after the record was made, seen those that the second
		// router knows; nil for all.
		lost, seen []int
		recorded   bool
		want       Result
	}{
		{"one holder", []sumachead.HallID{"a"}, nil, nil, true, Found},
		{"three data halls", []sumachead.HallID{"a", "b", "c"}, nil, nil, true, Found},
		{"the holder of the first router's hall is lost", []sumachead.HallID{"a", "b"}, []int{0}, nil, true, Found},
		{"the other holder is lost", []sumachead.HallID{"a", "b"}, []int{1}, nil, true, Found},
		{"both are lost", []sumachead.HallID{"a", "b"}, []int{0, 1}, nil, true, Unreachable},
		{"a list without one of them", []sumachead.HallID{"a", "b"}, nil, []int{1}, true, Found},
		{"a list without both of them", []sumachead.HallID{"a", "b"}, nil, []int{}, true, Unknown},
		{"never recorded", []sumachead.HallID{"a", "b", "c"}, nil, nil, false, Unknown},
		{"no holders", nil, nil, nil, true, Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			holders, stop := startHolders(t, tt.halls...)
			first := newDirectory("a", holders)
			k := KeyOf("clerks", "1")
			if tt.recorded {
				first.Record(k, originV1, time.Now().Add(time.Minute))
				first.records.Flush(t.Context())
			}
			for _, i := range tt.lost {
				stop(i)
			}
			seen := holders
			if tt.seen != nil {
				seen = []Holder{}
				for _, i := range tt.seen {
					seen = append(seen, holders[i])
				}
			}
			o, got := newDirectory("b", seen).Find(t.Context(), k)
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
			if got == Found && o != originV1 {
				t.Errorf("found %v", o)
			}
		})
	}
}

// Guards against a record that is lost because its holder has just ended.
func TestRecordGoesToTheSubstituteOfALostHolder(t *testing.T) {
	holders, stop := startHolders(t, "a", "a", "a")
	k := KeyOf("clerks", "1")
	first := rankHolders(k, limitHolders(holders))[0].first
	stop(slices.IndexFunc(holders, func(h Holder) bool { return h.Address == first }))
	d := newDirectory("a", holders)
	d.Record(k, originV1, time.Now().Add(time.Minute))
	d.records.Flush(t.Context())
	if _, got := newDirectory("b", holders).Find(t.Context(), k); got != Found {
		t.Errorf("result %v", got)
	}
}

// Guards against origins that are lost where servers are replaced: plays replacements with the
// choices of holders alone. A copy counts if it lies where a router with the new list looks.
func TestReplacedHoldersLoseFewOrigins(t *testing.T) {
	tests := []struct {
		name string
		// perHall is the number of holders in each of three data halls; of each hall, added are new
		// and removed are gone when the stream is resumed.
		perHall, added, removed int
		// minFound is the share of streams whose origin is found at least, in percent.
		minFound int
	}{
		{"nothing changes", 4, 0, 0, 100},
		{"a server is added in each hall", 4, 1, 0, 100},
		{"a server is replaced in each hall", 4, 1, 1, 90},
		{"half of the servers are replaced", 4, 2, 2, 70},
		{"a hundred servers, a tenth are replaced", 100, 10, 10, 90},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			const streams = 2000
			found := 0
			for i := range streams {
				var before, after []Holder
				for _, hall := range []sumachead.HallID{"a", "b", "c"} {
					for n := range tt.perHall + tt.added {
						h := Holder{fmt.Sprintf("%s-%d:1", hall, n), hall}
						if n < tt.perHall {
							before = append(before, h)
						}
						if n >= tt.removed {
							after = append(after, h)
						}
					}
				}
				r.Shuffle(len(before), func(i, j int) { before[i], before[j] = before[j], before[i] })
				k := KeyOf("clerks", requestID(i))
				if anyCopyFound(k, before, after) {
					found++
				}
			}
			t.Logf("%.1f percent found", 100*float64(found)/streams)
			if found*100 < streams*tt.minFound {
				t.Errorf("%d of %d origins are found, want %d percent", found, streams, tt.minFound)
			}
		})
	}
}

// anyCopyFound reports whether one of the holders of a stream's origin is asked by a router that knows
// another list of holders.
func anyCopyFound(k Key, before, after []Holder) bool {
	var asked []string
	for _, h := range rankHolders(k, limitHolders(after)) {
		asked = append(asked, h.first, h.substitute)
	}
	return slices.ContainsFunc(chooseHalls(rankHolders(k, limitHolders(before)), "a"), func(h hallHolders) bool {
		return slices.Contains(asked, h.first)
	})
}

// Guards against a router of a large fleet that keeps a connection to every backend server's host.
func TestHoldersPerHallAreBounded(t *testing.T) {
	var all []Holder
	for _, hall := range []sumachead.HallID{"a", "b"} {
		for i := range 5 * maxHoldersPerHall {
			all = append(all, Holder{fmt.Sprintf("%s-%d:1", hall, i), hall})
		}
	}
	if diff := cmp.Diff(2*maxHoldersPerHall, len(limitHolders(append(all, all...)))); diff != "" {
		t.Errorf("holders (-want +got):\n%s", diff)
	}
}
