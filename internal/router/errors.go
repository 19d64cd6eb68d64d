package router

import (
	"net/http"
	"strconv"
	"time"

	"sumachead"
	"sumachead/internal/intake"
	"sumachead/internal/strictjson"
)

// errorBody is the JSON body of every refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Verdict   sumachead.Verdict `json:"verdict"`
	Reason    sumachead.Reason  `json:"reason"`
	Message   string            `json:"message"`
	RequestID string            `json:"request_id"`
	Key       string            `json:"idempotency_key,omitempty"`
	RetryAt   *time.Time        `json:"retry_at,omitempty"`
}

// errorFilter sends the refusal when the rest of the chain returns an error, and
// counts responses.
func (r *Router) errorFilter(next handler) handler {
	return func(x *exchange) error {
		began := time.Now()
		err := next(x)
		r.metrics.duration.Observe(time.Since(began).Seconds())
		if err == nil {
			r.metrics.responses.Inc()
			return nil
		}
		r.refuse(x, sumachead.AsRefusal(err))
		return err
	}
}

// refuse sends a refusal. If part of the response has been sent already, a
// final event of the stream reports the error and the connection is aborted.
func (r *Router) refuse(x *exchange, f *sumachead.Refusal) {
	r.metrics.refusals.WithLabelValues(string(f.Reason), string(f.Verdict)).Inc()
	r.Log.Debug("Request refused.", "id", x.id, "reason", f.Reason, "verdict", f.Verdict, "detail", f.Detail)
	body, err := strictjson.Encode(x.errorBody(f))
	if err != nil {
		body = []byte(`{}`)
	}
	if x.headerSent {
		x.abort(body)
		return
	}
	h := x.w.Header()
	h.Set("Content-Type", "application/json")
	if !f.RetryAt.IsZero() {
		h.Set("Retry-After", retryAfterSeconds(f.RetryAt))
	}
	x.w.WriteHeader(f.Reason.HTTPStatus())
	_, _ = x.w.Write(append(body, '\n'))
}

func (x *exchange) errorBody(f *sumachead.Refusal) errorBody {
	d := errorDetail{Verdict: f.Verdict, Reason: f.Reason, Message: f.Detail, RequestID: x.id, Key: string(x.key)}
	if !f.RetryAt.IsZero() {
		at := f.RetryAt.UTC()
		d.RetryAt = &at
	}
	return errorBody{d}
}

// retryAfterSeconds returns the value of a Retry-After header, rounded up to
// whole seconds.
func retryAfterSeconds(at time.Time) string {
	s := int64((time.Until(at) + time.Second - 1) / time.Second)
	return strconv.FormatInt(max(s, 1), 10)
}

// abort aborts a response that has begun.
func (x *exchange) abort(body []byte) {
	if x.backend.stream {
		_, _ = x.w.Write([]byte("event: error\ndata: " + string(body) + "\n\n"))
		_ = http.NewResponseController(x.w).Flush()
	}
	intake.Abort(x.w, x.r)
}
