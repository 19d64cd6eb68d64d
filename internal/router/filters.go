package router

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"

	"sumachead"
	"sumachead/internal/intake"
	"sumachead/internal/keeperclient"
)

// shortRetryDelay is the retry delay after a refusal for a condition that should pass
// quickly.
const shortRetryDelay = time.Second

func formatUint(n uint64, base int) string { return strconv.FormatUint(n, base) }

// requestIDFilter sets the request ID, and generates a key if the caller sent
// none.
func (r *Router) requestIDFilter(next handler) handler {
	const maxKeyLength = 256
	return func(x *exchange) error {
		x.id = uuid.NewString()
		x.key = sumachead.RequestKey(x.r.Header.Get(HeaderKey))
		if len(x.key) > maxKeyLength || !utf8.ValidString(string(x.key)) {
			x.key = ""
			return notRun(sumachead.ReasonBadRequest, HeaderKey+" is longer than 256 bytes or not valid UTF-8", time.Time{})
		}
		x.callerChoseKey = x.key != ""
		x.w.Header().Set(HeaderRequestID, x.id)
		x.setKey(x.key)
		if !x.callerChoseKey {
			x.setKey(r.randomKey(x.r.Header.Get(HeaderNonIdempotent) == "true"))
		}
		return next(x)
	}
}

func (x *exchange) setKey(k sumachead.RequestKey) {
	x.key = k
	x.w.Header().Set(HeaderKey, string(k))
}

// randomKey returns a random key. The key of a non-idempotent request belongs to
// this hall, so that it can be claimed here even while the hall is cut off.
func (r *Router) randomKey(nonIdempotent bool) sumachead.RequestKey {
	if nonIdempotent {
		return sumachead.RequestKey(keeperclient.HallKey(r.Config.Hall, uuid.NewString()))
	}
	return sumachead.RequestKey(uuid.NewString())
}

// settingsFilter sets the settings view of the request. It refuses the request
// with a retry time while the settings may be stale: a workspace that is missing
// from stale settings may exist.
func (r *Router) settingsFilter(next handler) handler {
	return func(x *exchange) error {
		x.view = r.follower.View()
		if x.view == nil || !r.follower.MayServeAny() {
			return x.widenForCallerKey(refuseWithRetry(sumachead.NotRun, sumachead.ReasonSettingsStale, "the settings are not proved current"))
		}
		return next(x)
	}
}

// authFilter finds the workspace by the bearer key of the request.
func (r *Router) authFilter(next handler) handler {
	return func(x *exchange) error {
		key, ok := strings.CutPrefix(x.r.Header.Get("Authorization"), "Bearer ")
		if ok {
			x.workspace = x.view.Authenticate(key)
		}
		if x.workspace == nil {
			return notRun(sumachead.ReasonUnauthorized, "no workspace has this bearer key", time.Time{})
		}
		return next(x)
	}
}

// sizeFilter reads the body, up to the workspace's limit.
func (r *Router) sizeFilter(next handler) handler {
	return func(x *exchange) error {
		limit := x.workspace.Limits.MaxBodyBytes
		stop := intake.LimitBodyTime(x.w, intake.DefaultBodyTimeout)
		body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
		stop()
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return notRun(sumachead.ReasonTooLarge, "the body is larger than "+strconv.FormatInt(limit, 10)+" bytes", time.Time{})
		}
		if err != nil {
			return notRun(sumachead.ReasonBadRequest, "the body broke off", time.Time{})
		}
		x.body = body
		return next(x)
	}
}

// deadlineFilter parses the headers for the deadline, priority and idempotency
// of the request.
func (r *Router) deadlineFilter(next handler) handler {
	return func(x *exchange) error {
		now := time.Now()
		x.deadline = now.Add(x.workspace.Limits.MaxTime)
		if h := x.r.Header.Get(HeaderDeadline); h != "" {
			t, err := time.Parse(time.RFC3339, h)
			if err != nil {
				return notRun(sumachead.ReasonBadRequest, HeaderDeadline+" is not an RFC 3339 time", time.Time{})
			}
			if !t.After(now) {
				return x.widenForCallerKey(refuseNotRun(sumachead.ReasonDeadlinePassed, "the deadline has passed", time.Time{}))
			}
			if t.Before(x.deadline) {
				x.deadline = t
			}
		}
		var ok bool
		if x.priority, ok = sumachead.ParsePriority(x.r.Header.Get(HeaderPriority)); !ok {
			return notRun(sumachead.ReasonBadRequest, HeaderPriority+" is none of urgent, normal and batch", time.Time{})
		}
		switch h := x.r.Header.Get(HeaderNonIdempotent); h {
		case "", "false":
		case "true":
			x.nonIdempotent = true
		default:
			return notRun(sumachead.ReasonBadRequest, HeaderNonIdempotent+" is neither true nor false", time.Time{})
		}
		return next(x)
	}
}

// concurrency counts the requests in flight of each workspace.
type concurrency struct {
	mu       sync.Mutex // guards inFlight
	inFlight map[sumachead.WorkspaceID]int64
}

func (c *concurrency) acquire(w sumachead.WorkspaceID, limit int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight == nil {
		c.inFlight = make(map[sumachead.WorkspaceID]int64)
	}
	if c.inFlight[w] >= limit {
		return false
	}
	c.inFlight[w]++
	return true
}

func (c *concurrency) release(w sumachead.WorkspaceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[w]--; c.inFlight[w] == 0 {
		delete(c.inFlight, w)
	}
}

// concurrencyFilter limits the requests in flight of a workspace.
func (r *Router) concurrencyFilter(next handler) handler {
	return func(x *exchange) error {
		w := x.workspace
		if !r.concurrency.acquire(w.ID, w.Limits.MaxConcurrent) {
			return x.widenForCallerKey(refuseWithRetry(sumachead.NotRun, sumachead.ReasonBusy, "the workspace has too many requests open here"))
		}
		defer r.concurrency.release(w.ID)
		return next(x)
	}
}
