package router

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"sumachead"
	"sumachead/internal/keeperclient"
)

// retrySoon is when to come back after a refusal that should pass quickly.
const retrySoon = time.Second

func formatUint(n uint64, base int) string { return strconv.FormatUint(n, base) }

// requestIDFilter names the request, and its key where the caller has not.
func (r *Router) requestIDFilter(next handler) handler {
	const maxKeyLength = 256
	return func(x *exchange) error {
		x.id = uuid.NewString()
		x.key = sumachead.RequestKey(x.r.Header.Get(HeaderKey))
		if len(x.key) > maxKeyLength {
			x.key = ""
			return notRun(sumachead.ReasonBadRequest, HeaderKey+" is longer than 256 bytes", time.Time{})
		}
		x.callersKey = x.key != ""
		x.w.Header().Set(HeaderRequestID, x.id)
		x.setKey(x.key)
		if !x.callersKey {
			x.setKey(r.drawKey(x.r.Header.Get(HeaderNotRepeatable) == "true"))
		}
		return next(x)
	}
}

func (x *exchange) setKey(k sumachead.RequestKey) {
	x.key = k
	x.w.Header().Set(HeaderKey, string(k))
}

// drawKey returns a new key. One for a request that is not repeatable belongs
// to this hall, so that it can be claimed here also while the hall is cut off.
func (r *Router) drawKey(notRepeatable bool) sumachead.RequestKey {
	if notRepeatable {
		return sumachead.RequestKey(keeperclient.HallKey(r.Config.Hall, uuid.NewString()))
	}
	return sumachead.RequestKey(uuid.NewString())
}

// settingsFilter fixes the settings that the request is dealt with under. Under
// settings that may be old nothing is refused for good: a workspace that they
// lack may exist.
func (r *Router) settingsFilter(next handler) handler {
	return func(x *exchange) error {
		x.view = r.follower.View()
		if x.view == nil || !r.follower.MayServeAny() {
			return x.unsure(refuseSoon(sumachead.NotRun, sumachead.ReasonSettingsStale, "the settings are not proved current"))
		}
		return next(x)
	}
}

// authFilter finds the workspace by its bearer key.
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

// sizeFilter reads the body within the workspace's limit.
func (r *Router) sizeFilter(next handler) handler {
	return func(x *exchange) error {
		limit := x.workspace.Limits.MaxBodyBytes
		body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
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

// deadlineFilter reads the headers that say how and until when to run.
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
				return x.unsure(refuseNotRun(sumachead.ReasonDeadlinePassed, "the deadline has passed", time.Time{}))
			}
			if t.Before(x.deadline) {
				x.deadline = t
			}
		}
		var ok bool
		if x.priority, ok = sumachead.ParsePriority(x.r.Header.Get(HeaderPriority)); !ok {
			return notRun(sumachead.ReasonBadRequest, HeaderPriority+" is none of urgent, normal and batch", time.Time{})
		}
		switch h := x.r.Header.Get(HeaderNotRepeatable); h {
		case "", "false":
		case "true":
			x.notRepeatable = true
		default:
			return notRun(sumachead.ReasonBadRequest, HeaderNotRepeatable+" is neither true nor false", time.Time{})
		}
		return next(x)
	}
}

// concurrency counts the open requests of each workspace.
type concurrency struct {
	mu   sync.Mutex // guards open
	open map[sumachead.WorkspaceID]int64
}

func (c *concurrency) enter(w sumachead.WorkspaceID, most int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[sumachead.WorkspaceID]int64)
	}
	if c.open[w] >= most {
		return false
	}
	c.open[w]++
	return true
}

func (c *concurrency) leave(w sumachead.WorkspaceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[w]--; c.open[w] == 0 {
		delete(c.open, w)
	}
}

// concurrencyFilter bounds the open requests of a workspace.
func (r *Router) concurrencyFilter(next handler) handler {
	return func(x *exchange) error {
		w := x.workspace
		if !r.limits.enter(w.ID, w.Limits.MaxConcurrent) {
			return x.unsure(refuseSoon(sumachead.NotRun, sumachead.ReasonBusy, "the workspace has too many requests open here"))
		}
		defer r.limits.leave(w.ID)
		return next(x)
	}
}
