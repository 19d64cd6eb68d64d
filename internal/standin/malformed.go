package standin

import (
	"math/rand/v2"
	"net"
	"strings"
)

// Malformed heads of responses.

// malformHead returns a sound head with one fault at random: a status that is none, a byte that a field
// name may not hold, or its end missing.
func malformHead(head string) string {
	switch rand.IntN(3) {
	case 0:
		statuses := []string{"000", "099", "101", "600", "999"}
		version, rest, _ := strings.Cut(head, " ")
		_, rest, _ = strings.Cut(rest, " ")
		return version + " " + statuses[rand.IntN(len(statuses))] + " " + rest
	case 1:
		const bytes = " \t\n\r\x00\x01\x7f"
		lines := strings.SplitAfter(strings.TrimSuffix(head, "\r\n"), "\r\n")
		i := 1 + rand.IntN(len(lines)-2) // the last one is empty
		at, b := rand.IntN(strings.Index(lines[i], ":")+1), rand.IntN(len(bytes))
		lines[i] = lines[i][:at] + bytes[b:b+1] + lines[i][at:]
		return strings.Join(lines, "") + "\r\n"
	default:
		return head[:rand.IntN(len(head))]
	}
}

// writeHead writes a head, or a malformed one if that is chosen. After a part of a head the connection is
// closed.
func (x *framedResponse) writeHead(head string) {
	if !x.malformed {
		_, _ = x.w.WriteString(head) // the flush returns the error
		return
	}
	h := malformHead(head)
	_, _ = x.w.WriteString(h)
	if strings.HasPrefix(head, h) {
		_ = x.w.Flush()
		x.close()
		x.err = net.ErrClosed
	}
}
