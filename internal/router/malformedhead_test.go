package router

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"

	"sumachead"
	"sumachead/api/wire"
)

// A status that is none of a final response must not reach the caller's connection: the HTTP server
// panics on some, and sends others as interim responses.
func TestResponseWithInvalidStatusIsRefused(t *testing.T) {
	for _, status := range []int32{-1, 0, 99, 100, 101, 103, 199, 600, 999, 1000} {
		for _, data := range []string{"", "data"} {
			t.Run(strconv.Itoa(int(status))+" "+data, func(t *testing.T) {
				w := httptest.NewRecorder()
				s := &responseSink{x: &exchange{w: w}, digest: xxhash.New()}
				err := s.append(&wire.ReadReply{Head: &wire.AnswerHead{Status: status}, Data: []byte(data)})
				if err == nil {
					err = s.close()
				}
				if err == nil {
					t.Fatalf("the caller got status %d", w.Code)
				}
				f := sumachead.AsRefusal(err)
				if f.Verdict == sumachead.NotRun || f.Reason.HTTPStatus() != http.StatusBadGateway {
					t.Errorf("got %v", err)
				}
			})
		}
	}
}
