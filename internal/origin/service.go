package origin

import (
	"time"

	"sumachead/api/wire"
)

// Name is the RPC service name of a [Service].
const Name = "Origins"

// maxKeep bounds for how long a record is kept, whatever a router asks for.
const maxKeep = 10 * time.Minute

// Service holds the origins that routers record. The zero value is ready to use.
type Service struct{ table Table }

// Record records the origins of streams.
func (s *Service) Record(b *wire.StreamOrigins, _ *wire.Empty) error {
	now := time.Now()
	for _, o := range b.GetOrigins() {
		if k, ok := keyFromWire(o.GetStream()); ok {
			keep := min(time.Duration(o.GetKeepMillis())*time.Millisecond, maxKeep)
			s.table.Put(k, Origin{o.GetService(), o.GetSoftware()}, now.Add(keep), now)
		}
	}
	return nil
}

// Find returns the origin of a stream if it is known here.
func (s *Service) Find(q *wire.OriginQuery, reply *wire.OriginReply) error {
	k, ok := keyFromWire(q.GetStream())
	if !ok {
		return nil
	}
	now := time.Now()
	if o, until, ok := s.table.Get(k, now); ok {
		reply.Origin = toWire(k, o, until, now)
	}
	return nil
}

func keyFromWire(b []byte) (k Key, ok bool) {
	return k, copy(k[:], b) == len(k) && len(b) == len(k)
}

func toWire(k Key, o Origin, until, now time.Time) *wire.StreamOrigin {
	return &wire.StreamOrigin{Stream: k[:], Service: o.Service, Software: o.Software, KeepMillis: until.Sub(now).Milliseconds()}
}
