package gateway

import "sumachead"

// PromptBilling says what the prompt of an answer costs that its caller did not
// get whole.
type PromptBilling int

const (
	// PromptAtFirstEvent bills the whole prompt once an event was handed out.
	PromptAtFirstEvent PromptBilling = iota
	// PromptByShare bills as much of the prompt as was handed out of the most
	// tokens that the request allows, so that a caller who goes on elsewhere, or
	// leaves, does not pay for the prompt as if it had the answer.
	PromptByShare
)

// bill returns what the request cost: its prompt and the tokens of the events
// handed out. A request of which nothing was handed out costs nothing: its
// workspace has received nothing. A whole answer is billed its whole prompt.
func (x *exchange) bill(billing PromptBilling, whole bool) sumachead.Tokens {
	if x.events == 0 {
		return 0
	}
	prompt, most := x.request.PromptTokens, x.request.AnswerTokens
	handedOut := sumachead.Tokens(x.events * max(x.service.GetEngine().GetEventTokens(), 1))
	if billing == PromptByShare && !whole && handedOut < most {
		prompt = (prompt*handedOut + most - 1) / most
	}
	return prompt + handedOut
}
