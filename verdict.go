package sumachead

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Verdict says whether a request may have run.
type Verdict string

// The verdicts.
const (
	// NotRun means that the request did not run, and that no copy of it will.
	NotRun Verdict = "not_run"
	// MayHaveRun means that the request may have run, or may still be running.
	MayHaveRun Verdict = "may_have_run"
	// Ran means that the request ran; its response may be lost.
	Ran Verdict = "ran"
)

// Reason says why a request was refused or retried. The list is closed: each reason has a
// counter, and docs/OPERATIONS.md says what to do about it.
type Reason string

// The reasons.
const (
	ReasonBadRequest       Reason = "bad_request"
	ReasonUnauthorized     Reason = "unauthorized"
	ReasonTooLarge         Reason = "too_large"
	ReasonHeadersTooLarge  Reason = "headers_too_large"
	ReasonDeadlinePassed   Reason = "deadline_passed"
	ReasonUnknownPool      Reason = "unknown_pool"
	ReasonUnknownRoute     Reason = "unknown_route"
	ReasonPoolForbidden    Reason = "pool_forbidden"
	ReasonKeyConflict      Reason = "key_conflict"
	ReasonBudgetExhausted  Reason = "budget_exhausted"
	ReasonBudgetReserved   Reason = "budget_reserved"
	ReasonBudgetInUse      Reason = "budget_in_use"
	ReasonNoBudget         Reason = "no_budget"
	ReasonLedgerUnreached  Reason = "ledger_unreached"
	ReasonClaimUnavailable Reason = "claim_unavailable"
	ReasonSettingsStale    Reason = "settings_stale"
	ReasonNoServer         Reason = "no_server"
	ReasonOriginUnknown    Reason = "origin_unknown"
	ReasonVersionGone      Reason = "version_gone"
	ReasonRouterFull       Reason = "router_full"
	ReasonBusy             Reason = "busy"
	ReasonCold             Reason = "cold"
	ReasonResting          Reason = "resting"
	ReasonLimited          Reason = "limited"
	ReasonShed             Reason = "shed"
	ReasonLeaving          Reason = "leaving"
	ReasonFenced           Reason = "fenced"
	ReasonServerUnreached  Reason = "server_unreached"
	ReasonServerFailed     Reason = "server_failed"
	ReasonBadAnswer        Reason = "bad_answer"
	ReasonEndsServers      Reason = "ends_servers"
	ReasonSuspected        Reason = "suspected"
	ReasonStuck            Reason = "stuck"
	ReasonInterrupted      Reason = "interrupted"
	ReasonAnswerGone       Reason = "answer_gone"
	ReasonRunning          Reason = "running"
	ReasonRetryBudget      Reason = "retry_budget"
	ReasonStopping         Reason = "stopping"
	ReasonInternal         Reason = "internal"
)

// Reasons lists each reason once, in the order of the documentation.
func Reasons() []Reason {
	return []Reason{
		ReasonBadRequest, ReasonUnauthorized, ReasonTooLarge, ReasonHeadersTooLarge, ReasonDeadlinePassed,
		ReasonUnknownPool, ReasonUnknownRoute, ReasonPoolForbidden, ReasonKeyConflict, ReasonBudgetExhausted,
		ReasonBudgetReserved, ReasonBudgetInUse, ReasonNoBudget, ReasonLedgerUnreached, ReasonClaimUnavailable, ReasonSettingsStale,
		ReasonNoServer, ReasonOriginUnknown, ReasonVersionGone, ReasonRouterFull, ReasonBusy, ReasonCold, ReasonResting, ReasonLimited, ReasonShed, ReasonLeaving, ReasonFenced,
		ReasonServerUnreached, ReasonServerFailed, ReasonBadAnswer, ReasonEndsServers, ReasonSuspected, ReasonStuck,
		ReasonInterrupted, ReasonAnswerGone, ReasonRunning, ReasonRetryBudget,
		ReasonStopping, ReasonInternal,
	}
}

// HTTPStatus returns the status code with which a refusal for the reason is sent to a caller.
func (r Reason) HTTPStatus() int {
	switch r {
	case ReasonBadRequest:
		return http.StatusBadRequest
	case ReasonUnauthorized:
		return http.StatusUnauthorized
	case ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonHeadersTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case ReasonUnknownPool, ReasonUnknownRoute:
		return http.StatusNotFound
	case ReasonPoolForbidden:
		return http.StatusForbidden
	case ReasonKeyConflict, ReasonRunning:
		return http.StatusConflict
	case ReasonBudgetExhausted, ReasonNoBudget:
		return http.StatusPaymentRequired
	case ReasonAnswerGone:
		return http.StatusGone
	case ReasonBudgetReserved, ReasonBusy, ReasonShed, ReasonRetryBudget:
		return http.StatusTooManyRequests
	case ReasonServerFailed, ReasonBadAnswer, ReasonEndsServers, ReasonStuck, ReasonInterrupted:
		return http.StatusBadGateway
	case ReasonDeadlinePassed:
		return http.StatusGatewayTimeout
	case ReasonInternal:
		return http.StatusInternalServerError
	}
	return http.StatusServiceUnavailable
}

// Refusal is the error that ends a request without a complete response.
type Refusal struct {
	Verdict Verdict
	Reason  Reason
	// Detail is a short explanation for people.
	Detail string
	// RetryAt is when the caller should retry; zero if retrying will not help.
	RetryAt time.Time
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Verdict, r.Detail)
}

// Refuse returns a refusal that tells the caller when to retry.
func Refuse(v Verdict, r Reason, detail string, retryAt time.Time) *Refusal {
	return &Refusal{Verdict: v, Reason: r, Detail: detail, RetryAt: retryAt}
}

// AsRefusal returns err as a refusal. An error of another type may have occurred after the
// request was sent, so its verdict is [MayHaveRun].
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return &Refusal{Verdict: MayHaveRun, Reason: ReasonInternal, Detail: err.Error()}
}
