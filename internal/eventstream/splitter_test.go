package eventstream

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// split appends the parts of a stream and returns its events and the rest.
func split(parts []string) (events []string, rest string) {
	var s Splitter
	for _, p := range parts {
		s.Append([]byte(p))
		for e, ok := s.Next(); ok; e, ok = s.Next() {
			events = append(events, string(e))
		}
	}
	return events, string(s.Rest())
}

// A stream must be split in the same places however its bytes arrive and its lines end.
func TestEventsEndWithBlankLines(t *testing.T) {
	tests := []struct {
		name, stream string
		want         []string
		rest         string
	}{
		{"empty", "", nil, ""},
		{"one event", "id: 1\ndata: x\n\n", []string{"id: 1\ndata: x\n\n"}, ""},
		{"two events", "data: x\n\ndata: y\n\n", []string{"data: x\n\n", "data: y\n\n"}, ""},
		{"no blank line", "data: x\n", nil, "data: x\n"},
		{"no line end", "data: x", nil, "data: x"},
		{"CRLF", "data: x\r\n\r\ndata: y\r\n\r\n", []string{"data: x\r\n\r\n", "data: y\r\n\r\n"}, ""},
		{"CRLF cut in the blank line", "data: x\r\n\r", nil, "data: x\r\n\r"},
		{"CR", "data: x\r\rdata: y\r\r", []string{"data: x\r\r", "data: y\r\r"}, ""},
		{"CR cut before the blank line", "data: x\r", nil, "data: x\r"},
		{"comment", ": ping\n\n", []string{": ping\n\n"}, ""},
		{"additional blank line", "data: x\n\n\n", []string{"data: x\n\n", "\n"}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, parts := range [][]string{{tt.stream}, strings.Split(tt.stream, "")} {
				got, rest := split(parts)
				if diff := cmp.Diff(append(tt.want, tt.rest), append(got, rest)); diff != "" {
					t.Errorf("%d parts, events and rest (-want +got):\n%s", len(parts), diff)
				}
			}
		})
	}
}

// No byte may be lost or moved, and a cut must never complete an event.
func TestSplittingKeepsAllBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\n", "\r", "\r\n"}).Draw(t, "line end")
		lines := rapid.SliceOf(rapid.SampledFrom([]string{"id: 7", "data: x", "data:", ": c", "", ""})).Draw(t, "lines")
		var whole []string // events, with the blank lines that end them
		for _, l := range lines {
			if len(whole) == 0 || strings.HasSuffix(whole[len(whole)-1], lineEnd+lineEnd) || whole[len(whole)-1] == lineEnd {
				whole = append(whole, "")
			}
			whole[len(whole)-1] += l + lineEnd
		}
		stream := strings.Join(whole, "")
		cut := rapid.IntRange(0, len(stream)).Draw(t, "cut")
		var parts []string
		for left := stream[:cut]; left != ""; {
			n := rapid.IntRange(1, len(left)).Draw(t, "part")
			parts, left = append(parts, left[:n]), left[n:]
		}
		got, rest := split(parts)
		if diff := cmp.Diff(stream[:cut], strings.Join(got, "")+rest); diff != "" {
			t.Fatalf("(-want +got):\n%s", diff)
		}
		for i, e := range got {
			if e != whole[i] {
				t.Fatalf("event %d is %q, want %q", i, e, whole[i])
			}
		}
	})
}

func TestFields(t *testing.T) {
	tests := []struct {
		event   string
		id      string
		hasID   bool
		hasData bool
		isEnd   bool
	}{
		{"id: 7\ndata: x\n\n", "7", true, true, false},
		{"id:7\r\ndata:x\r\n\r\n", "7", true, true, false},
		{"id: 7\rdata: [DONE]\r\r", "7", true, true, true},
		{"data: [DONE]", "", false, true, true},
		{"data: [DONE", "", false, true, false},
		{": data: [DONE]\n\n", "", false, false, false},
		{"idle: 3\ndatum: [DONE]\n\n", "", false, false, false},
	}
	for _, tt := range tests {
		id, hasID := ID([]byte(tt.event))
		got := []any{id, hasID, HasData([]byte(tt.event)), IsEndMarker([]byte(tt.event))}
		if diff := cmp.Diff([]any{tt.id, tt.hasID, tt.hasData, tt.isEnd}, got); diff != "" {
			t.Errorf("%q (-want +got):\n%s", tt.event, diff)
		}
	}
}
