package gateway

import "sumachead"

// bill returns what the request cost: its prompt and the tokens of the events
// handed out. A request of which nothing was handed out costs nothing: its
// workspace has received nothing. A caller who leaves pays for the prompt as well:
// from here it looks the same as one whose connection has broken.
func (x *exchange) bill() sumachead.Tokens {
	if x.events == 0 {
		return 0
	}
	eventTokens := max(x.service.GetEngine().GetEventTokens(), 1)
	return x.request.PromptTokens + sumachead.Tokens(x.events*eventTokens)
}
