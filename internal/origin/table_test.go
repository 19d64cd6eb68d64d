package origin

import (
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sumachead"
)

var (
	originV1 = Origin{Service: "pool", Software: "v1"}
	originV2 = Origin{Service: "pool", Software: "v2"}
)

// Guards against origins that are reported although they are not certain, and against records that
// other callers can read or fill up.
func TestTable(t *testing.T) {
	now := time.Now()
	stream := KeyOf("clerks", "1")
	type put struct {
		key    Key
		origin Origin
		keep   time.Duration
	}
	tests := []struct {
		name string
		puts []put
		// after is how long after the records the stream is resumed.
		after time.Duration
		want  string
	}{
		{"recorded", []put{{stream, originV1, time.Second}}, 0, "v1"},
		{"not recorded", nil, 0, ""},
		{"expired", []put{{stream, originV1, time.Second}}, time.Second, ""},
		{"recorded again, for longer", []put{{stream, originV1, time.Second}, {stream, originV1, time.Minute}}, 2 * time.Second, "v1"},
		{"recorded again, for a shorter time", []put{{stream, originV1, time.Minute}, {stream, originV1, time.Second}}, 2 * time.Second, "v1"},
		{"an id that two callers use", []put{{stream, originV1, time.Second}, {stream, originV2, time.Second}}, 0, ""},
		{"an id that two workspaces use", []put{{stream, originV1, time.Second}, {KeyOf("nurses", "1"), originV2, time.Second}}, 0, "v1"},
		{"another service with the same version", []put{{stream, originV1, time.Second}, {stream, Origin{"desk", "v1"}, time.Second}}, 0, ""},
		{"names that join to the same text", []put{{KeyOf("clerks1", ""), originV1, time.Second}}, 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := &Table{}
			for _, p := range tt.puts {
				table.Put(p.key, p.origin, now.Add(p.keep), now)
			}
			o, _, _ := table.Get(stream, now.Add(tt.after))
			if diff := cmp.Diff(tt.want, o.Software); diff != "" {
				t.Errorf("version (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against unbounded memory, and against a full table that forgets streams it has accepted.
func TestFullTableTakesNoFurtherStreams(t *testing.T) {
	const bound = 100
	table := &Table{MaxEntries: bound}
	now := time.Now()
	accepted := 0
	for i := range 3 * bound {
		if table.Put(KeyOf("clerks", requestID(i)), originV1, now.Add(time.Minute), now) {
			accepted++
		}
	}
	if diff := cmp.Diff([]int{bound, bound}, []int{accepted, table.Len()}); diff != "" {
		t.Errorf("accepted and kept (-want +got):\n%s", diff)
	}
	if _, _, ok := table.Get(KeyOf("clerks", requestID(0)), now); !ok {
		t.Error("an accepted stream was forgotten")
	}
	if later := now.Add(2 * time.Minute); !table.Put(KeyOf("clerks", "later"), originV1, later.Add(time.Minute), later) {
		t.Error("no room although all entries have expired")
	}
	if diff := cmp.Diff(1, table.Len()); diff != "" {
		t.Errorf("entries after all have expired (-want +got):\n%s", diff)
	}
}

func requestID(i int) sumachead.RequestID { return sumachead.RequestID(strconv.Itoa(i)) }
