package registry

import (
	"unicode/utf8"

	"github.com/gravitational/trace"

	"sumachead/api/wire"
)

// Anybody who reaches a keeper can register servers, and what one writer sends is passed on to all
// followers. Records are therefore bounded in size and number, and a server of a service that is not
// declared affects no other one.

const (
	// maxTextBytes bounds each text of a record.
	maxTextBytes = 256
	// maxRecords bounds the records, several times those of the largest fleet, and maxUndeclaredRecords those
	// of services that are not declared. New ones beyond a bound are refused; known ones are kept.
	maxRecords           = 16384
	maxUndeclaredRecords = 1024
	// maxRecordsPerAddress bounds the incarnations at one address: more than a server that crashes every second
	// has while they are kept.
	maxRecordsPerAddress = 256
)

// SetServices sets the names of the services that the declaration with a number declares. It is cheap if that
// declaration is known.
func (t *Table) SetServices(number uint64, names func() []string) {
	t.lock()
	defer t.mu.Unlock()
	if number <= t.servicesNumber {
		return
	}
	t.servicesNumber, t.services = number, make(map[string]bool)
	for _, n := range names() {
		t.services[n] = true
	}
}

// isDeclared reports whether a service is declared, or might be as no declaration is known. The caller holds mu.
func (t *Table) isDeclared(service string) bool { return t.services == nil || t.services[service] }

// checkText returns a [trace.BadParameter] error for a record with a text that is too long or not valid UTF-8.
func checkText(r *wire.ServerRecord) error {
	for _, text := range []string{r.GetId(), r.GetName(), r.GetService(), r.GetAddress(), r.GetHall(), r.GetSoftware()} {
		if len(text) > maxTextBytes {
			return trace.BadParameter("a text of %d bytes, %d are allowed", len(text), maxTextBytes)
		}
		if !utf8.ValidString(text) {
			return trace.BadParameter("%q is not valid UTF-8", text)
		}
	}
	return nil
}

// checkService returns a [trace.BadParameter] error for a record that names a service that is not declared under
// the name of a server of a declared one. The caller holds mu.
func (t *Table) checkService(r *wire.ServerRecord) error {
	if r.GetAddress() == "" || t.isDeclared(r.GetService()) {
		return nil
	}
	for _, id := range []string{r.GetId(), t.latestByName[ServerName(r)]} {
		if e := t.entries[id]; e != nil && e.record.GetAddress() != "" && t.isDeclared(e.record.GetService()) {
			return trace.BadParameter("the service %q is not declared, and the server belongs to %q", r.GetService(), e.record.GetService())
		}
	}
	return nil
}

// checkRoom returns a [trace.LimitExceeded] error if there is no room for a record. The caller holds mu.
func (t *Table) checkRoom(r *wire.ServerRecord) error {
	if t.entries[r.GetId()] != nil {
		return nil
	}
	if len(t.entries) >= maxRecords {
		return trace.LimitExceeded("%d backend servers are known, no more are accepted", maxRecords)
	}
	if r.GetAddress() != "" && len(t.idsByAddress[r.GetAddress()]) >= maxRecordsPerAddress {
		return trace.LimitExceeded("%d backend servers are known at %s, no more are accepted", maxRecordsPerAddress, r.GetAddress())
	}
	if r.GetAddress() != "" && t.isDeclared(r.GetService()) || len(t.entries) < maxUndeclaredRecords {
		return nil
	}
	n := 0
	for _, e := range t.entries {
		if e.record.GetAddress() == "" || !t.isDeclared(e.record.GetService()) {
			n++
		}
	}
	if n >= maxUndeclaredRecords {
		return trace.LimitExceeded("%d backend servers of services that are not declared are known, no more are accepted", maxUndeclaredRecords)
	}
	return nil
}
