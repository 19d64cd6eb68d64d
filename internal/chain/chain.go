// Package chain wraps request handlers in filters.
package chain

// Handler handles a request with state X.
type Handler[X any] func(X) error

// Filter wraps a handler in another one.
type Filter[X any] func(next Handler[X]) Handler[X]

// Wrap wraps h in filters; the first filter is the outermost.
func Wrap[X any](h Handler[X], filters ...Filter[X]) Handler[X] {
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i](h)
	}
	return h
}
