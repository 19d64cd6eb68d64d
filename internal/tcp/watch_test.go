package tcp

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sys/unix"
)

// state is what a Watch concludes from the kernel's information.
type state struct{ Closed, Silent bool }

func TestPeerState(t *testing.T) {
	const second = 1000 // of the kernel's milliseconds
	now := time.Now()
	tests := []struct {
		name                        string
		info                        unix.TCPInfo
		closedSince, retransmitting time.Duration
		want                        state
	}{
		{"idle", unix.TCPInfo{Last_ack_recv: 60 * second}, 0, 0, state{}},
		{"keep-alive probe in flight", unix.TCPInfo{Last_ack_recv: 60 * second, Probes: 1}, 0, 0, state{}},
		{"data in flight after a pause", unix.TCPInfo{Unacked: 2, Last_ack_recv: 60 * second}, 0, 0, state{}},
		{"first retransmission", unix.TCPInfo{Unacked: 2, Retransmits: 1, Backoff: 1, Last_ack_recv: 60 * second}, 0, 0, state{}},
		{"retransmissions for long", unix.TCPInfo{Unacked: 2, Retransmits: 4, Backoff: 4, Last_ack_recv: 3 * second}, 0, 3 * time.Second, state{Silent: true}},
		{"window closed", unix.TCPInfo{Notsent_bytes: 9, Last_ack_recv: second / 2}, 0, 0, state{Closed: true}},
		{"window closed for long, probe answered", unix.TCPInfo{Notsent_bytes: 9, Backoff: 4, Last_ack_recv: 3 * second}, 60 * time.Second, 0, state{Closed: true}},
		{"window closed, one probe lost", unix.TCPInfo{Notsent_bytes: 9, Probes: 1, Backoff: 4, Last_ack_recv: 5 * second}, 60 * time.Second, 0, state{Closed: true}},
		{"window closed, probes unanswered", unix.TCPInfo{Notsent_bytes: 9, Probes: 2, Backoff: 5, Last_ack_recv: 5 * second}, 60 * time.Second, 0, state{Closed: true, Silent: true}},
		{"buffer reduced", unix.TCPInfo{Unacked: 1, Notsent_bytes: 9, Backoff: 3, Last_ack_recv: 2 * second}, 0, 0, state{Closed: true}},
		{"buffer reduced, then silent", unix.TCPInfo{Unacked: 1, Notsent_bytes: 9, Backoff: 3, Last_ack_recv: 7 * second}, 9 * time.Second, 0, state{Closed: true, Silent: true}},
		{"kernel reports only data in flight", unix.TCPInfo{Unacked: 2}, 0, 0, state{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := &Watch{UserTimeout: true}
			if tt.closedSince > 0 {
				w.closedSince = now.Add(-tt.closedSince)
			}
			if tt.retransmitting > 0 {
				w.unansweredSince = now.Add(-tt.retransmitting)
			}
			got := state{hasClosedWindow(&tt.info), w.isSilent(&tt.info, now)}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}
