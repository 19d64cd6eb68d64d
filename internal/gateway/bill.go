package gateway

import "sumachead"

// bill returns the cost of the request: its prompt and the tokens of the events sent. A request of
// which nothing was sent costs nothing, because its workspace has received nothing. A caller that
// disconnects pays for the prompt as well: the router cannot tell it from one whose connection
// broke.
func (x *exchange) bill() sumachead.Tokens {
	if x.events == 0 {
		return 0
	}
	eventTokens := max(x.service.GetEngine().GetEventTokens(), 1)
	return x.request.PromptTokens + sumachead.Tokens(x.events*eventTokens)
}
